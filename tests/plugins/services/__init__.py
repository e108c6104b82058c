"""Tests of goldcrestyard.plugins.services."""
