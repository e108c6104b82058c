"""Which waiting request gets which target, and when."""
