"""Tests of the weights plug-in."""
