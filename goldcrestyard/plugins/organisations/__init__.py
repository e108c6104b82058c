"""Organisations, their API keys, and the authentication of callers."""
