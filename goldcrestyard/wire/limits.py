"""Size limits and time-outs of peer connections."""

MAX_FRAME_BYTES = 64 * 1024 * 1024
"""Maximum size of a frame.  A snapshot of the state that entries receive must
fit into one frame."""

CONNECT_TIMEOUT_SECONDS = 3.0
CLOSE_TIMEOUT_SECONDS = 1.0
"""Time within which a peer must confirm the closing of a connection."""

HANDSHAKE_TIMEOUT_SECONDS = 5.0

PING_INTERVAL_SECONDS = 5.0
PING_TIMEOUT_SECONDS = 5.0
"""Time after which a connection with an unanswered ping is closed.  A
connection may stop delivering data permanently although new ones to the same
peer work."""
