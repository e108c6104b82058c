"""Tests of goldcrestyard.plugins.bodies."""
