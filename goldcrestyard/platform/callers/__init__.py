"""Callers and trainers, on entries."""
