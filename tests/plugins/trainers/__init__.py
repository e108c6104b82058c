"""Tests of goldcrestyard.plugins.trainers."""
