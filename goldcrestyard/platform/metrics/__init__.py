"""Metrics endpoint at the port and path that the deploy file names."""
