"""Orders: commands to external systems, sent by the leader only."""
