"""Control members, as operators see and replace them."""
