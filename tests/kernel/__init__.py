"""Tests of goldcrestyard.kernel."""
