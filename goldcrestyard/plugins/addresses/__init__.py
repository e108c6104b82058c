"""The list of addresses that callers may use."""
