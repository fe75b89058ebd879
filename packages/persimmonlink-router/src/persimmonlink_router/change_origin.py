"""How a change of the store came to this node, for the log."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ChangeSource(StrEnum):
    """What told this node of a change."""

    WATCH = "watch"
    LISTING = "listing"
    PEER = "peer"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ChangeOrigin:
    """How changes came to this node, and how old they may be.

    Parameters
    ----------
    source : ChangeSource
        What told of them.
    max_delay_s : float or None
        Longest time since they were written, in seconds: that since the last response
        of the store before them; None if unknown.
    member : str
        Peer that told of them, empty for none.
    is_settled : bool
        Whether the store answered that peer for so long that no entry can have
        expired in an outage.
    """

    source: ChangeSource
    max_delay_s: float | None = None
    member: str = ""
    is_settled: bool = False

    def describe(self) -> dict[str, object]:
        """Return the fields of log lines."""
        fields: dict[str, object] = {"source": self.source.value}
        if self.max_delay_s is not None:
            fields["max_delay_s"] = round(self.max_delay_s, 3)
        if self.member:
            fields["member"] = self.member
        return fields


UNKNOWN_ORIGIN = ChangeOrigin(ChangeSource.UNKNOWN)


__all__ = ("UNKNOWN_ORIGIN", "ChangeOrigin", "ChangeSource")
