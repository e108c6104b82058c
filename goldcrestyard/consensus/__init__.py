"""The replicated log: election, replication and the leader lease."""
