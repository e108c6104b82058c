"""Service discovery: the entries to which callers may connect."""
