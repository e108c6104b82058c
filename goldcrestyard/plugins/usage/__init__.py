"""Meters usage, closes it in windows and reports each window once."""
