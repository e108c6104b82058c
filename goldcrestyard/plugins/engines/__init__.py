"""The inference front end."""
