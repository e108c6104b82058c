"""Steps, samples and batches of the trainers."""
