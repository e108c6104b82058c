"""The entries that callers may use."""
