"""The audit trail of changes."""
