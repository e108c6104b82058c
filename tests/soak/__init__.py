"""A randomised soak test of the platform's programs as real processes."""
