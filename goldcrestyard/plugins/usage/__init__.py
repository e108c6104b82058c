"""Usage: metering by organisation, and one report for each time window."""
