"""Tests of goldcrestyard; folders mirror the package."""
