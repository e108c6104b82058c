"""Tests of the usage plug-in."""
