"""Tests of goldcrestyard.consensus."""
