"""The control member of this instance, which replicates the log."""
