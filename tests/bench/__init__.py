"""Tests of the calculations in ``bench``."""
