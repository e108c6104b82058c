"""Size limits and time-outs of peer connections."""

MAX_FRAME_BYTES = 64 * 1024 * 1024
"""Largest frame; must hold a snapshot of the state that entries receive."""

CONNECT_TIMEOUT_SECONDS = 3.0
CLOSE_TIMEOUT_SECONDS = 1.0
"""Time in which a peer must confirm that a connection is closed."""

HANDSHAKE_TIMEOUT_SECONDS = 5.0

PING_INTERVAL_SECONDS = 5.0
PING_TIMEOUT_SECONDS = 5.0
"""A connection is closed if a ping is not answered within this time.  A
connection may stop delivering for good while new ones to the peer work."""
