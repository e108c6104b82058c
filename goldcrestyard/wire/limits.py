"""Bounds on the connections between the system's own processes."""

MAX_FRAME_BYTES = 64 * 1024 * 1024
"""Largest frame; a snapshot of the fanned-out state is sent in one."""

CONNECT_SECONDS = 3.0
CLOSE_SECONDS = 1.0
"""How long a peer may take to confirm that a connection is closed."""

HANDSHAKE_SECONDS = 5.0

PING_INTERVAL_SECONDS = 5.0
PING_TIMEOUT_SECONDS = 5.0
"""A connection that answers no ping for this long is closed: it may have
gone silent for good while new ones work."""
