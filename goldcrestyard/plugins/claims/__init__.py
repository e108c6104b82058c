"""Claims that keep non-idempotent calls from running twice."""
