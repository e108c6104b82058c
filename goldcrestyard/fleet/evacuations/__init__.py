"""Data centres whose targets get no more requests, by order of an operator."""
