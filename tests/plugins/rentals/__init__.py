"""Tests of the rentals plug-in."""
