"""Tests of goldcrestyard.plugins.engines."""
