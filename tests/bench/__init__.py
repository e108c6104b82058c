"""Tests of the measurements' arithmetic."""
