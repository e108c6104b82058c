"""Mutual authentication of peers by the shared cluster secret.

Each side sends a nonce and, as the proof that it holds the secret, an HMAC
over both nonces, both instance ids and the cluster name.  The server accepts
the connection, the client opens it.
"""

import hashlib
import hmac
import secrets
from dataclasses import dataclass

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.wire.messages import Hello, HelloProof, HelloReply

NONCE_BYTES = 16


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of this process towards its peers, and the cluster secret."""

    cluster: str
    instance: InstanceId
    secret: bytes


def new_nonce() -> bytes:
    """Return a fresh random nonce."""
    return secrets.token_bytes(NONCE_BYTES)


def server_proof(identity: Identity, hello: Hello, nonce: bytes) -> bytes:
    """Return this process's proof as the server, whose nonce is ``nonce``."""
    return _proof(
        identity.secret, b"accept", hello.nonce, nonce, hello.instance, identity
    )


def client_proof(identity: Identity, hello: Hello, reply: HelloReply) -> bytes:
    """Return this process's proof as the client."""
    return _proof(
        identity.secret,
        b"connect",
        hello.nonce,
        reply.nonce,
        reply.instance,
        identity,
    )


def check_hello(identity: Identity, hello: Hello) -> str | None:
    """Return the error in a client's ``Hello``, or None if it is valid."""
    if hello.cluster != identity.cluster:
        return f"cluster is {hello.cluster!r}, expected {identity.cluster!r}"
    if len(hello.nonce) != NONCE_BYTES:
        return "nonce has the wrong length"
    return None


def verify_server_proof(identity: Identity, hello: Hello, reply: HelloReply) -> bool:
    """Return whether the proof in a server's reply is valid."""
    server_identity = Identity(identity.cluster, reply.instance, identity.secret)
    expected = server_proof(server_identity, hello, reply.nonce)
    return hmac.compare_digest(expected, reply.proof)


def verify_client_proof(
    identity: Identity, hello: Hello, reply: HelloReply, proof: HelloProof
) -> bool:
    """Return whether a client's proof is valid."""
    client_identity = Identity(identity.cluster, hello.instance, identity.secret)
    expected = client_proof(client_identity, hello, reply)
    return hmac.compare_digest(expected, proof.proof)


def _proof(
    secret: bytes,
    side: bytes,
    client_nonce: bytes,
    server_nonce: bytes,
    peer: InstanceId,
    prover: Identity,
) -> bytes:
    parts = (
        side,
        client_nonce,
        server_nonce,
        peer.encode(),
        prover.instance.encode(),
        prover.cluster.encode(),
    )
    return hmac.digest(secret, b"\0".join(parts), hashlib.sha256)
