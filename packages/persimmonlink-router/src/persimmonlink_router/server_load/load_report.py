"""A server's report of its own load, as its responses carry it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a server at the moment of a response.

    Parameters
    ----------
    running : int
        Requests that it runs, of all callers.
    waiting : int
        Requests that wait there.
    slots : int
        Requests that it runs at once.
    slowness : float or None
        Factor by which work takes longer than usual there at this moment; None if the
        report doesn't say.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


__all__ = ("LoadReport",)
