"""Files of the replicated log and of sample bodies."""
