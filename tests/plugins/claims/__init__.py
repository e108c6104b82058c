"""Tests of goldcrestyard.plugins.claims."""
