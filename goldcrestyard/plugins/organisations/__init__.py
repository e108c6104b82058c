"""Organisations, their keys, and the check of a caller's key."""
