"""The replicated state machine and its slices."""
