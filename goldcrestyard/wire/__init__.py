"""Peer protocol between daemon processes: CBOR messages over WebSockets."""
