"""Tests of goldcrestyard; the folders mirror those of the package."""
