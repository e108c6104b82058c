"""Test doubles and helpers shared by several test folders."""
