"""Targets that say in their answers that they leave."""
