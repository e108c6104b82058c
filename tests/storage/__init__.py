"""Tests of goldcrestyard.storage."""
