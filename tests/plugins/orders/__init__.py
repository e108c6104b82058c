"""Tests of the orders plug-in."""
