"""Tests of goldcrestyard.plugins.members."""
