"""Service discovery: the entries that callers may use."""
