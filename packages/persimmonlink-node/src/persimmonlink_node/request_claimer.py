"""Claims on request ids, so that only one node incarnation may run each."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from persimmonlink_model.result_code import Failure, ResultCode, RunState

if TYPE_CHECKING:
    from persimmonlink_interfaces.key_value import KeyValueStore
    from persimmonlink_model.deadline import Deadline
    from persimmonlink_model.request_id import RequestId
    from persimmonlink_node.node_state import NodeIdentity


@dataclass(frozen=True)
class ClaimHolder:
    """The node incarnation that may run a claimed request id.

    Parameters
    ----------
    node_id : str
        Name of the node.
    incarnation : str
        Incarnation of the node when it claimed the id.
    nonce : str
        Random value, new for each attempt to claim.
    """

    node_id: str
    incarnation: str
    nonce: str = ""


class RequestClaimer(Protocol):
    """Claims request ids before their first non-repeatable stage."""

    def claim(
        self, request_id: RequestId, deadline: Deadline
    ) -> Result[ClaimHolder, Failure]:
        """Return the holder of the id, which is this node if the id was unclaimed.

        Fails with `CLAIM_UNAVAILABLE` if the holder can't be determined, and with
        `REQUEST_ID_TOO_OLD` if the id became too old. The claim may be stored even if
        it is unavailable, but this node then runs nothing under it.
        """
        ...


class KeyPerClaimClaimer:
    """Stores each claim under its own key; the baseline to compare the claim log with.

    Parameters
    ----------
    store : KeyValueStore
        The platform's key-value service.
    identity : NodeIdentity
        Node that claims.
    """

    def __init__(self, store: KeyValueStore, identity: NodeIdentity) -> None:
        self._store = store
        self._identity = identity

    def claim(
        self, request_id: RequestId, deadline: Deadline
    ) -> Result[ClaimHolder, Failure]:
        """Create the claim's key if it is absent."""
        identity = self._identity
        own_claim = ClaimHolder(
            identity.node_id, identity.incarnation, secrets.token_hex(8)
        )
        if request_id.is_pinned:
            return Success(own_claim)
        key = f"claims/by-id/{request_id.text}"
        swapped = self._store.compare_and_swap(key, msgspec.json.encode(own_claim), 0)
        if isinstance(swapped, Err):
            return self._resolve_lost_reply(key, own_claim)
        outcome = swapped.unwrap()
        if outcome.succeeded or outcome.current is None:
            return Success(own_claim)
        return Success(msgspec.json.decode(outcome.current.value, type=ClaimHolder))

    def _resolve_lost_reply(
        self, key: str, own_claim: ClaimHolder
    ) -> Result[ClaimHolder, Failure]:
        read = self._store.read_range(key)
        if isinstance(read, Err):
            # The write may still take effect, but only this node could run the id
            # under that claim, and it runs nothing after this failure.
            return Err(
                Failure(
                    ResultCode.CLAIM_UNAVAILABLE,
                    read.failure().detail,
                    RunState.NOT_RUN,
                    retry_after_s=1.0,
                )
            )
        entries = read.unwrap().entries
        if not entries:
            return Err(
                Failure(
                    ResultCode.CLAIM_UNAVAILABLE,
                    "the claim was not written",
                    retry_after_s=1.0,
                )
            )
        return Success(msgspec.json.decode(entries[0].value, type=ClaimHolder))


__all__ = ("ClaimHolder", "KeyPerClaimClaimer", "RequestClaimer")
