"""Stand-ins for outside systems; each runs as a process of its own."""
