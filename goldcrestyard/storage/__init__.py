"""Durable files: the replicated log, snapshots, votes and stored bodies."""
