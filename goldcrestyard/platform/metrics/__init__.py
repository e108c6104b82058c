"""Metrics, at the address that the deploy file names."""
