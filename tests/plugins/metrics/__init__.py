"""Tests of goldcrestyard.plugins.metrics."""
