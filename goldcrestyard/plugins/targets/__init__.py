"""Announcement, renewal and departure of targets."""
