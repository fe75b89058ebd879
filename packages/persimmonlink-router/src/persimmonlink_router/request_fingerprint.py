"""Fingerprints by which requests are recognized that come again under other ids."""

from __future__ import annotations

from hashlib import blake2b

DIGEST_BYTES = 16
# Tells fingerprints from the hexadecimal ids of prompt parts.
FINGERPRINT_PREFIX = "request:"


def compute_fingerprint(account: str, target: bytes, body: bytes) -> str:
    """Return the fingerprint of a request.

    It is a digest of the client account, the path and the body. Requests that differ
    only in their id, method, query or other headers have the same.

    Parameters
    ----------
    account : str
        Name of the client account, empty if none.
    target : bytes
        Path and query.
    body : bytes
        The complete body.
    """
    path = target.partition(b"?")[0]
    digest = blake2b(digest_size=DIGEST_BYTES)
    for value in (account.encode(), path, body):
        digest.update(len(value).to_bytes(8))
        digest.update(value)
    return FINGERPRINT_PREFIX + digest.hexdigest()


def is_fingerprint(cause_id: str) -> bool:
    """Whether the id of a possible cause is the fingerprint of a request."""
    return cause_id.startswith(FINGERPRINT_PREFIX)


__all__ = ("FINGERPRINT_PREFIX", "compute_fingerprint", "is_fingerprint")
