"""Tracking of targets by their heartbeats."""
