"""Decisions as pure functions over core types; time is passed in."""
