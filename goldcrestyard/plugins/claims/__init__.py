"""Claims, which keep non-idempotent calls from running twice."""
