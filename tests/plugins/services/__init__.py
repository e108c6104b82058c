"""Tests of the plug-in for plain services."""
