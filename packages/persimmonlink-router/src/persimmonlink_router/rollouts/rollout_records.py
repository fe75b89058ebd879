"""Orders to move a service to another version, and what was decided of them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from persimmonlink_router.foreign_values import MAX_NAME_CHARS, UNREADABLE_ERRORS
from persimmonlink_router.rollouts.rollout_phase import RolloutPhase
from persimmonlink_router.wire_messages import WireFormatError

if TYPE_CHECKING:
    from persimmonlink_router.store import StoredItem

ROLLOUT_PREFIX = "persimmonlink/rollouts/"  # Prefix of the keys of the records.


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to move a service to another version.

    Parameters
    ----------
    service : str
        Service that is moved.
    version : str
        Software version that it is moved to; empty if the order is malformed.
    period_s : float
        Time by which the rollout has to end, in seconds.
    error : str
        Why the order can't be followed; empty if it can.
    """

    service: str
    version: str
    period_s: float
    error: str = ""


@dataclass(frozen=True, slots=True)
class RolloutOrderEntry:
    """Entry of the store that orders a rollout; None if the order was deleted."""

    service: str
    order: RolloutOrder | None


class RolloutRecord(msgspec.Struct, frozen=True):
    """What was decided of an order, as all nodes read it from the store.

    Parameters
    ----------
    order_revision : int
        Revision of the store at which the order was written.
    service : str
        Service that is moved.
    version : str
        Version that it is moved to.
    phase : RolloutPhase
        How far the rollout is.
    elapsed_s : float
        Time from the order to this decision, in seconds.
    decided_by : str
        Node that decided.
    old_versions : tuple of str
        Versions that served beside the new one.
    code : int
        Number of the reason for which it was reverted; 0 for none.
    reason : str
        That reason in words.
    banned_versions : tuple of str
        Versions that earlier orders were reverted from, which get nothing either.
    """

    order_revision: int
    service: str
    version: str
    phase: RolloutPhase
    elapsed_s: float
    decided_by: str
    old_versions: tuple[str, ...] = ()
    code: int = 0
    reason: str = ""
    banned_versions: tuple[str, ...] = ()


def read_rollout_record(item: StoredItem) -> RolloutRecord | None:
    """Decode an item of the store; None for a deleted one.

    Raises `WireFormatError` if it is malformed.
    """
    if item.value is None:
        return None
    try:
        record = msgspec.json.decode(item.value, type=RolloutRecord)
    except UNREADABLE_ERRORS as error:
        raise WireFormatError(f"rollout record: {error}") from error
    if len(record.service) > MAX_NAME_CHARS or ROLLOUT_PREFIX + record.service != (
        item.key
    ):
        raise WireFormatError("rollout record: it names another service than its key")
    return record


__all__ = (
    "ROLLOUT_PREFIX",
    "RolloutOrder",
    "RolloutOrderEntry",
    "RolloutRecord",
    "read_rollout_record",
)
