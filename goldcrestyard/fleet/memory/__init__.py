"""The room in a process's memory for bodies in progress, and its metrics."""
