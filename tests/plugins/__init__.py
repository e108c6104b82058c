"""Tests of goldcrestyard.plugins."""
