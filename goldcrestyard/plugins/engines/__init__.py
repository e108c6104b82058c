"""HTTP interface for inference requests to model engines."""
