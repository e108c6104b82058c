"""Orders to outside systems: committed, sent by one sender, settled."""
