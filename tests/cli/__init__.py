"""Tests of goldcrestyard.cli."""
