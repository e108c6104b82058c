"""Tests of goldcrestyard.membership."""
