"""Whether the store answers this node, and since when."""

from __future__ import annotations

import math

from loguru import logger

# Servers register again within this time after an outage of the store.
OUTAGE_EXPIRY_GRACE_S = 2.0
MIN_OUTAGE_S = 0.8  # Shortest outage of the store that may have expired leases.


class StoreContact:
    """Records answers of the store and their absence, in boot times in seconds."""

    def __init__(self) -> None:
        self.last_contact_at = 0.0
        self.restored_at = 0.0
        self._lost_at: float | None = None
        self._doubt: str | None = None  # Why it is taken to be lost, until it is sure.
        self._failed_at = -math.inf  # Last time at which it surely did not answer.
        # When a peer had it again, while it does not answer this node.
        self._heard_return_at: float | None = None
        self._recovered_at = -math.inf
        self._first_contact_at: float | None = None

    @property
    def is_in_contact(self) -> bool:
        """Whether the store answers this node; not while that is in doubt."""
        return self._lost_at is None and self.last_contact_at > 0

    def record_contact(self, now: float) -> bool:
        """Record that the store answered this node.

        Return whether an outage is over of which no peer has said so.
        """
        self.last_contact_at = now
        if self._first_contact_at is None:
            self._first_contact_at = now
        if self._lost_at is None:
            return False
        silent_s = now - self._lost_at
        is_outage = silent_s > MIN_OUTAGE_S
        if self._doubt is not None and not is_outage:
            self._lost_at = None
            self._doubt = None
            self._heard_return_at = None
            return False
        self._confirm_loss(now)
        heard_at = self._heard_return_at
        if is_outage:
            self._recovered_at = now if heard_at is None else heard_at
        logger.bind(
            dependency="store", silent_s=round(silent_s, 2), outage=is_outage
        ).info("dependency.recovered")
        self._lost_at = None
        self._heard_return_at = None
        return is_outage and heard_at is None

    def record_loss(self, now: float, reason: str, since: float) -> None:
        """Record that the store did not answer this node.

        Parameters
        ----------
        now : float
            Boot time, in seconds.
        reason : str
            What failed, for the log.
        since : float
            Boot time from which it may not have answered, in seconds. A call that was
            broken off or rejected tells nothing of the time before.
        """
        self._failed_at = max(self._failed_at, since)
        if self._heard_return_at is not None and self._heard_return_at <= since:
            self._heard_return_at = None
        if self._lost_at is not None:
            self._confirm_loss(now)
            return
        self._lost_at = since
        _log_loss(now, reason, since)

    def record_doubt(self, now: float, reason: str) -> None:
        """Record that the store may not answer this node.

        It is taken to be lost, and logged as lost if the next call fails too.
        """
        if self._lost_at is None:
            self._failed_at = max(self._failed_at, now)
            self._lost_at = now
            self._doubt = reason

    def _confirm_loss(self, now: float) -> None:
        """Log the loss that was in doubt until now, if there was one."""
        doubt, self._doubt = self._doubt, None
        if doubt is not None and self._lost_at is not None:
            _log_loss(now, doubt, self._lost_at)

    def record_restore(self, now: float) -> None:
        """Record that the store returned from an older copy.

        What the copy lacks may be written again, and is believed for a time.
        """
        self._failed_at = now
        self._recovered_at = now
        self.restored_at = now

    def record_return(self, at: float) -> bool:
        """Record that a peer had the store again at a boot time, after an outage.

        A time before the last call that failed belongs to another outage. Return
        whether this node knows from it that the store was back earlier.
        """
        return self._failed_at < at and self._take_return(at)

    def record_served_peer(self, served_at: float, steady_since: float) -> bool:
        """Record that the store served a peer at a boot time, in seconds.

        If that was after the last call that failed here, it has been back since then,
        or since the peer's own last outage. Return as `record_return` does.
        """
        if not self._failed_at < served_at:
            return False
        return self._take_return(max(self._failed_at, steady_since))

    def _take_return(self, at: float) -> bool:
        if self._lost_at is None:
            if at >= self._recovered_at:
                return False
            self._recovered_at = at
            return True
        if self._heard_return_at is not None and at >= self._heard_return_at:
            return False
        self._heard_return_at = at
        return True

    def find_return(self) -> float | None:
        """Return when the store was back after its last outage, None if unknown."""
        if self._lost_at is not None:
            return self._heard_return_at
        return self._recovered_at if self._recovered_at > 0 else None

    def find_steady_s(self, now: float) -> float:
        """Return for how long the store has answered without an outage, in seconds."""
        if self._lost_at is not None or self._first_contact_at is None:
            return 0.0
        return now - max(self._first_contact_at, self._recovered_at)

    def find_lapse_end(self, now: float) -> float | None:
        """Return until when an entry that ends now may be written again.

        It may if it can have expired in an outage; None if its removal is final.
        """
        if self._heard_return_at is not None:
            return _find_later(self._heard_return_at + OUTAGE_EXPIRY_GRACE_S, now)
        if self._lost_at is not None and now - self._lost_at > MIN_OUTAGE_S:
            return now + OUTAGE_EXPIRY_GRACE_S
        return self.find_grace_end(now)

    def find_grace_end(self, now: float) -> float | None:
        """Return the end of the time after an outage, None if it is over."""
        return _find_later(self._recovered_at + OUTAGE_EXPIRY_GRACE_S, now)


def _log_loss(now: float, reason: str, since: float) -> None:
    logger.bind(
        dependency="store", reason=reason, silent_s=round(now - since, 2)
    ).warning("dependency.lost")


def _find_later(ends_at: float, now: float) -> float | None:
    """Return the end of a time, None if it is over."""
    return ends_at if ends_at > now else None


__all__ = ("OUTAGE_EXPIRY_GRACE_S", "StoreContact")
