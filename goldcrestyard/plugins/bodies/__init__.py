"""The body store: contents of samples and outcomes on control members."""
