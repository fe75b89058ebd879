"""What a node knows of a server as it sends work to it, for the log."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendBasis:
    """What a node knew of a server at the moment of a send.

    Parameters
    ----------
    sent_at : float
        Boot time of the send, in seconds.
    revision : int
        Revision of the server's last entry that the node had seen; 0 for none.
    entry_age_s : float or None
        Time since the node saw that entry, in seconds; None for none.
    store_age_s : float
        Time since the store last answered the node, in seconds.
    """

    sent_at: float
    revision: int
    entry_age_s: float | None
    store_age_s: float

    def describe(self, since: float) -> dict[str, object]:
        """Return the fields of log lines; the send is counted from `since`."""
        age_s = self.entry_age_s
        return {
            "after_s": round(self.sent_at - since, 3),
            "revision": self.revision,
            "entry_age_s": None if age_s is None else round(age_s, 3),
            "store_age_s": round(self.store_age_s, 3),
        }


__all__ = ("SendBasis",)
