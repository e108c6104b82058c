"""Targets, as their heartbeats tell."""
