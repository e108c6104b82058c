"""Messages between the system's own processes: CBOR over websockets."""
