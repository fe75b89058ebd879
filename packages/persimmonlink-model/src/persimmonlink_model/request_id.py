"""Request ids: a claimed id is a UUIDv7; a pinned id names one node incarnation."""

from __future__ import annotations

import uuid
from dataclasses import dataclass

from returns.result import Failure as Err
from returns.result import Result, Success

from persimmonlink_model.result_code import Failure, ResultCode, RunState

PINNED_PREFIX = "pin"
SEPARATOR = ":"
_PINNED_PARTS = 4
_UUID_VERSION = 7
_TIMESTAMP_SHIFT = 80


@dataclass(frozen=True)
class RequestId:
    """Parsed request id.

    Parameters
    ----------
    text : str
        Id as sent by the caller.
    created_at_ms : int
        Unix time at which the caller generated the id, in milliseconds.
    node_id : str
        The only node that may run a pinned id; empty for a claimed id.
    incarnation : str
        Incarnation of that node; empty for a claimed id.
    """

    text: str
    created_at_ms: int
    node_id: str = ""
    incarnation: str = ""

    @property
    def is_pinned(self) -> bool:
        """Whether only one node incarnation may run the id."""
        return bool(self.node_id)


@dataclass(frozen=True)
class RetryHorizon:
    """Limit on the age of request ids.

    Parameters
    ----------
    horizon_s : float
        Age up to which a request may be retried, in seconds.
    skew_s : float
        Largest difference between a caller's clock and the node's, in seconds.
    """

    horizon_s: float = 600.0
    skew_s: float = 30.0

    @property
    def retention_s(self) -> float:
        """Time for which a claim must be kept, in seconds.

        A claimed id may be ahead of the node's clock by `skew_s`, and is accepted up to
        `horizon_s + skew_s` after its own timestamp.
        """
        return self.horizon_s + 2 * self.skew_s

    def check_age(self, request_id: RequestId, now_ms: int) -> Failure | None:
        """Return the failure if an id is too old or from the future, or None.

        Parameters
        ----------
        request_id : RequestId
            Id to check.
        now_ms : int
            Unix time, in milliseconds.
        """
        age_s = (now_ms - request_id.created_at_ms) / 1000
        if age_s > self.horizon_s + self.skew_s:
            return Failure(
                ResultCode.REQUEST_ID_TOO_OLD,
                f"the id is {age_s:.0f} s old; "
                f"the retry horizon is {self.horizon_s:.0f} s",
                RunState.UNKNOWN,
            )
        if age_s < -self.skew_s:
            return Failure(
                ResultCode.REQUEST_ID_FROM_FUTURE,
                f"the id's timestamp is {-age_s:.0f} s ahead of this node's clock",
            )
        return None


def build_id_prefix(node_id: str, incarnation: str) -> str:
    """Return the prefix of ids that are pinned to a node incarnation."""
    return SEPARATOR.join((PINNED_PREFIX, node_id, incarnation, ""))


def parse_request_id(text: str) -> Result[RequestId, Failure]:
    """Parse a request id.

    Parameters
    ----------
    text : str
        Id as sent by the caller.

    Returns
    -------
    Result of RequestId
        Fails with `INVALID_REQUEST_ID` if the text is neither a claimed nor a pinned
        id.
    """
    parts = text.split(SEPARATOR)
    pinned = parts[0] == PINNED_PREFIX
    if pinned and (len(parts) != _PINNED_PARTS or not all(parts)):
        return Err(_invalid(text))
    if not pinned and len(parts) != 1:
        return Err(_invalid(text))
    try:
        unique = uuid.UUID(parts[-1])
    except ValueError:
        return Err(_invalid(text))
    # Only the canonical spelling is accepted, so that each id has a single text.
    if unique.version != _UUID_VERSION or str(unique) != parts[-1]:
        return Err(_invalid(text))
    created_at_ms = unique.int >> _TIMESTAMP_SHIFT
    if not pinned:
        return Success(RequestId(text, created_at_ms))
    return Success(RequestId(text, created_at_ms, parts[1], parts[2]))


def _invalid(text: str) -> Failure:
    return Failure(
        ResultCode.INVALID_REQUEST_ID,
        f"{text[:80]!r} is neither a UUIDv7 nor an id prefix followed by a UUIDv7",
    )


__all__ = (
    "PINNED_PREFIX",
    "SEPARATOR",
    "RequestId",
    "RetryHorizon",
    "build_id_prefix",
    "parse_request_id",
)
