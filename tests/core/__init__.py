"""Tests of goldcrestyard.core."""
