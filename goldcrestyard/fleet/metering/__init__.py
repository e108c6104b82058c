"""Requests that have begun to run, by window and organisation."""
