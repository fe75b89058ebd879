"""A client's request on its way through the router."""

from __future__ import annotations

from dataclasses import dataclass, field

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.configuration import Account, Route
from persimmonlink_router.http_server import Exchange
from persimmonlink_router.retry_detector import (
    CLIENT_RETRY_OBJECTIVE_SHARE,
    CLIENT_RETRY_PRIORITY_OFFSET,
)
from persimmonlink_router.wire_messages import RequestMetadata

DEFAULT_DEADLINE_S = 30.0  # Where a client names no deadline.


class RequestRefusedError(Exception):
    """A request that is not run: its answer says so and when to come back.

    Parameters
    ----------
    reason : str
        Why, for the log and the client.
    retry_after_s : float
        When there may be room, in seconds.
    """

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class RequestFailedError(Exception):
    """A request that may have run and has no answer.

    Parameters
    ----------
    reason : str
        Why, for the log and the client.
    status : int
        HTTP status: 502 or 504, neither of which promises anything.
    """

    def __init__(self, reason: str, status: int = 502) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class RequestState:
    """What is known of a request, and what was done for it.

    Parameters
    ----------
    exchange : Exchange
        The client's request and the answer to it.
    metadata : Call
        What the request says of itself.
    route : Route
        How it is served.
    service : str
        Service that it goes to.
    account : Account or None
        Client account, None on public routes.
    arrived_at : float
        Boot time of its arrival, in seconds.
    is_client_retry : bool
        Whether its client seems to have been refused before.
    """

    exchange: Exchange
    metadata: RequestMetadata
    route: Route
    service: str
    account: Account | None
    arrived_at: float
    sends: int = 0
    runs: int = 0
    may_have_run: bool = False
    servers: list[str] = field(default_factory=list)
    first_event_s: float | None = None
    predicted_first_event_s: float | None = None
    silent_since: float = 0.0
    is_client_retry: bool = False

    def __post_init__(self) -> None:
        self.silent_since = self.arrived_at

    @property
    def deadline_at(self) -> float:
        """Boot time at which the client gives up, in seconds."""
        deadline_s = self.metadata.deadline_s
        if deadline_s is None:
            deadline_s = DEFAULT_DEADLINE_S
        return self.arrived_at + deadline_s

    @property
    def end_at(self) -> float:
        """Boot time at which the request must have its answer, in seconds."""
        return min(self.deadline_at, self.arrived_at + self.route.timeout_s)

    @property
    def time_left_s(self) -> float:
        """Time until then, in seconds."""
        return self.end_at - boot_time()

    @property
    def event_time_left_s(self) -> float:
        """Time until the client gives up if no event comes, in seconds."""
        patience_ends_at = self.silent_since + self.route.max_silence_s
        return min(self.time_left_s, patience_ends_at - boot_time())

    @property
    def objective_left_s(self) -> float:
        """Time in which the first event should come, in seconds."""
        if self.runs:
            return self.event_time_left_s
        if self.is_client_retry:
            return CLIENT_RETRY_OBJECTIVE_SHARE * self.event_time_left_s
        return self.arrived_at + self.route.objective_s - boot_time()

    @property
    def stage_priority(self) -> int:
        """Rank among the requests that wait for stages."""
        if self.is_client_retry:
            return self.priority + CLIENT_RETRY_PRIORITY_OFFSET
        return self.priority

    @property
    def priority(self) -> int:
        """Rank of the request, that of the account going first."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def account_name(self) -> str:
        """Name of the client account, empty if there is none."""
        return self.account.name if self.account is not None else ""


__all__ = ("RequestFailedError", "RequestRefusedError", "RequestState")
