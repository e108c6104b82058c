"""Decision logic as pure functions and small classes over core types.

Nothing here does I/O or reads a clock; callers pass the time in.
"""
