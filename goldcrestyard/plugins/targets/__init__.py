"""Targets: announcement, renewal, draining and removal."""
