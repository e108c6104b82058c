"""The audit trail: who changed what, when, and with which result."""
