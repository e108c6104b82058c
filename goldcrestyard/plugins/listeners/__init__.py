"""The HTTP listeners, their limits and their error responses."""
