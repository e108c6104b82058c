"""Tests of goldcrestyard.plugins.listeners."""
