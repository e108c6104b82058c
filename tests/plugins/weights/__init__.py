"""Tests of goldcrestyard.plugins.weights."""
