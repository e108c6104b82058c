"""Prometheus metrics of fleet processes."""
