"""HTTP header names shared by the caller-facing and target-facing code."""

REQUEST_ID_HEADER = "x-request-id"
CORRELATION_HEADER = "x-correlation-id"
