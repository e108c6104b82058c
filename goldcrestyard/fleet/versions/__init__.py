"""Weight versions: recorded as named, and loaded onto engines."""
