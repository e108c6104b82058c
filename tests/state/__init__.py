"""Tests of goldcrestyard.state."""
