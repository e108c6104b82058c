"""Limits on the requests that targets in need accept from all processes."""
