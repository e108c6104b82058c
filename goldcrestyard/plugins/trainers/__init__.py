"""Training steps: generation of samples, batches and their acknowledgement."""
