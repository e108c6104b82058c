"""Calls to targets."""
