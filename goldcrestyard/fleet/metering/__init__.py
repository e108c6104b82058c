"""Usage metering: requests by time window and organisation."""
