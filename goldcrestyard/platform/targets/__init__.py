"""HTTP client for targets."""
