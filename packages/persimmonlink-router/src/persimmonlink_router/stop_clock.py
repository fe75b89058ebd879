"""When a node stops, and which requests it may still take."""

from __future__ import annotations

from dataclasses import dataclass

# Part of the time limit for a stop that is reserved to exit after the drain, before
# the process is killed; at most `STOP_MARGIN_SHARE` of the limit.
STOP_MARGIN_S = 0.4
STOP_MARGIN_SHARE = 1 / 8
# Time before the end of the drain at which requests without a response get a failure.
ANSWER_MARGIN_S = 0.3
# Requests that arrive this soon after the begin of a stop are taken although they may
# be cut at its end: clients can't know yet that the node stops. They were sent within
# `STOP_NOTICE_S` of the signal, also if the node learned of it late.
STOP_NOTICE_S = 3.0
SIGNAL_DELAY_S = 0.3
EARLY_ARRIVAL_S = STOP_NOTICE_S - SIGNAL_DELAY_S


@dataclass(slots=True)
class StopClock:
    """When the node was told to stop, and when it has to end its work.

    Parameters
    ----------
    began_at : float or None
        Boot time at which the node learned that it has to stop, in seconds; None
        before that.
    ends_at : float
        Boot time at which it ends what still runs, in seconds.
    is_cutting : bool
        Whether the node ends what still runs.
    """

    began_at: float | None = None
    ends_at: float = 0.0
    is_cutting: bool = False

    def begin(self, now: float, stop_s: float) -> None:
        """Begin a stop.

        Parameters
        ----------
        now : float
            Boot time, in seconds.
        stop_s : float
            Time until the process is killed, in seconds.
        """
        self.began_at = now
        self.ends_at = now + stop_s - min(STOP_MARGIN_S, stop_s * STOP_MARGIN_SHARE)

    @property
    def is_stopping(self) -> bool:
        """Whether the node was told to stop."""
        return self.began_at is not None

    @property
    def answers_by(self) -> float:
        """Boot time by which requests get a response if they have none, in seconds."""
        return self.ends_at - ANSWER_MARGIN_S

    def since_began_s(self, at: float) -> float | None:
        """Return the time from the begin of the stop to a boot time, in seconds.

        It is negative for a time before the stop, and None if there is no stop.
        """
        return None if self.began_at is None else round(at - self.began_at, 3)

    def admits(self, arrived_at: float, end_at: float) -> bool:
        """Whether a request may be taken.

        Parameters
        ----------
        arrived_at : float
            Boot time of its arrival, in seconds.
        end_at : float
            Boot time by which it has ended at the latest, in seconds.
        """
        if self.began_at is None or arrived_at <= self.began_at + EARLY_ARRIVAL_S:
            return True
        return end_at <= self.answers_by


__all__ = (
    "ANSWER_MARGIN_S",
    "EARLY_ARRIVAL_S",
    "STOP_MARGIN_S",
    "StopClock",
)
