"""Tests of goldcrestyard.plugins.targets."""
