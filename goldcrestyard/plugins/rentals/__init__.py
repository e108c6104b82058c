"""Rents targets from the platform and gives them back."""
