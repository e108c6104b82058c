"""Names of HTTP headers that several interfaces use."""

REQUEST_ID_HEADER = "x-request-id"
CORRELATION_HEADER = "x-correlation-id"
