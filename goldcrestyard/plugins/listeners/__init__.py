"""The HTTP listeners, their limits and the shape of errors."""
