"""This instance's copy of the state and its link to the leader."""
