"""Tests of goldcrestyard.wire."""
