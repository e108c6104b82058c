"""Replicated log (Raft): elections, replication, snapshots, leader lease."""
