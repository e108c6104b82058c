"""The address list: the entries to which callers may connect."""
