"""Live requests: from a caller to a target and back."""
