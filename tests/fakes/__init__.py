"""Helpers and stand-ins shared by the tests."""
