"""Usage reports and rental orders that the leader sends to the platform."""
