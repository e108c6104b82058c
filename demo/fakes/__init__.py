"""Small stand-ins for outside systems; each is a process of its own."""
