"""Ids, states, verdicts and records shared by all parts; no I/O."""
