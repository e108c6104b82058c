"""The configuration of what is served, as operators put it."""
