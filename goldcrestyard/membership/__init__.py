"""Entry leases and the distribution of committed changes."""
