"""Batch jobs of trainers: their replicated state, scheduling and reading."""
