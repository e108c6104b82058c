"""A randomised soak of the platform's programs, as real processes."""
