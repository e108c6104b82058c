"""Tests of goldcrestyard.policy."""
