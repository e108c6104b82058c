"""Calls that one holder at a time may make."""
