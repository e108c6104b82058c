"""The entry role: a local view of the state and a link to the leader."""
