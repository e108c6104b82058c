"""Calls to the platform that only the holder of a duty may make."""
