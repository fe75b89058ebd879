"""Fingerprints by which requests are recognized that come again under other ids."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

DIGEST_BYTES = 16
# Tells fingerprints from the hexadecimal ids of prompt parts.
FINGERPRINT_PREFIX = "request:"
# Tells those that include method and query from those of account, path and body.
EXACT_PREFIX = FINGERPRINT_PREFIX + "exact:"


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
    return FINGERPRINT_PREFIX + _digest(account.encode(), path, body)


def compute_exact_fingerprint(fingerprint: str, method: bytes, target: bytes) -> str:
    """Return the fingerprint of a request that tells methods and queries apart too.

    Parameters
    ----------
    fingerprint : str
        Its fingerprint without them.
    method : bytes
        Method.
    target : bytes
        Path and query.
    """
    _, mark, query = target.partition(b"?")
    return EXACT_PREFIX + _digest(fingerprint.encode(), method, mark + query)


def is_fingerprint(cause_id: str) -> bool:
    """Whether the id of a possible cause is the fingerprint of a request."""
    return cause_id.startswith(FINGERPRINT_PREFIX)


def is_exact_fingerprint(cause_id: str) -> bool:
    """Whether the id of a possible cause tells methods and queries apart too."""
    return cause_id.startswith(EXACT_PREFIX)


def list_exact_fingerprints(cause_ids: Iterable[str]) -> list[str]:
    """Return those of some causes that tell methods and queries apart."""
    return [cause_id for cause_id in cause_ids if is_exact_fingerprint(cause_id)]


def _digest(*values: bytes) -> str:
    digest = blake2b(digest_size=DIGEST_BYTES)
    for value in values:
        digest.update(len(value).to_bytes(8))
        digest.update(value)
    return digest.hexdigest()


__all__ = (
    "EXACT_PREFIX",
    "FINGERPRINT_PREFIX",
    "compute_exact_fingerprint",
    "compute_fingerprint",
    "is_exact_fingerprint",
    "is_fingerprint",
    "list_exact_fingerprints",
)
