"""Mutual authentication of peers by the shared cluster secret.

Each side sends a nonce and proves by an HMAC over both nonces, both instance
ids and the cluster name that it knows the secret.
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


def accepting_proof(identity: Identity, hello: Hello, nonce: bytes) -> bytes:
    """Return the accepting side's proof; ``nonce`` is its own nonce."""
    return _proof(
        identity.secret, b"accept", hello.nonce, nonce, hello.instance, identity
    )


def connecting_proof(identity: Identity, hello: Hello, reply: HelloReply) -> bytes:
    """Return the connecting side's proof, made by this process."""
    return _proof(
        identity.secret,
        b"connect",
        hello.nonce,
        reply.nonce,
        reply.instance,
        identity,
    )


def check_hello(identity: Identity, hello: Hello) -> str | None:
    """Return why a connecting process is rejected, or None if it is not."""
    if hello.cluster != identity.cluster:
        return f"cluster is {hello.cluster!r}, expected {identity.cluster!r}"
    if len(hello.nonce) != NONCE_BYTES:
        return "nonce has the wrong length"
    return None


def verify_accepting_proof(identity: Identity, hello: Hello, reply: HelloReply) -> bool:
    """Return whether the accepting side's proof is valid."""
    accepting = Identity(identity.cluster, reply.instance, identity.secret)
    expected = accepting_proof(accepting, hello, reply.nonce)
    return hmac.compare_digest(expected, reply.proof)


def verify_connecting_proof(
    identity: Identity, hello: Hello, reply: HelloReply, proof: HelloProof
) -> bool:
    """Return whether the connecting side's proof is valid."""
    connecting = Identity(identity.cluster, hello.instance, identity.secret)
    expected = connecting_proof(connecting, hello, reply)
    return hmac.compare_digest(expected, proof.proof)


def _proof(
    secret: bytes,
    side: bytes,
    connecting_nonce: bytes,
    accepting_nonce: bytes,
    peer: InstanceId,
    prover: Identity,
) -> bytes:
    parts = (
        side,
        connecting_nonce,
        accepting_nonce,
        peer.encode(),
        prover.instance.encode(),
        prover.cluster.encode(),
    )
    return hmac.digest(secret, b"\0".join(parts), hashlib.sha256)
