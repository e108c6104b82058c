"""Tests of the scheduling plug-in."""
