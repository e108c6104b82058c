"""This instance's member of the replicated log."""
