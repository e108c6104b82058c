"""Metrics of this instance."""
