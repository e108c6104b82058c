"""Tests of the targets plug-in."""
