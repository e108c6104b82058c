"""Tests of the platform plug-in."""
