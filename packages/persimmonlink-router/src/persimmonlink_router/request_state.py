"""State of a client request while the router serves it, and how it can fail."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.configuration import Account, Route
from persimmonlink_router.crash_evidence import RequestOrigin
from persimmonlink_router.http_messages import ResponseFraming
from persimmonlink_router.http_server import Exchange
from persimmonlink_router.relayed_exchange import RelayedExchange
from persimmonlink_router.request_fingerprint import (
    compute_exact_fingerprint,
    compute_fingerprint,
)
from persimmonlink_router.send_basis import SendBasis
from persimmonlink_router.wire_messages import RequestMetadata

if TYPE_CHECKING:
    from persimmonlink_router.servers import Server

DEFAULT_DEADLINE_S = 30.0  # Deadline of requests that state none.
# Ranks in the queues of stages for each priority: resumed streams, then new requests.
STAGE_RANKS_PER_PRIORITY = 2


class RequestRefusedError(Exception):
    """The request did not run: 503 tells the client so, and that it may retry.

    `ServerSender.send` raises it for one send. If an earlier send may have run the
    request, the client must receive `RequestFailedError` instead.

    Parameters
    ----------
    reason : str
        Reason given to the client and the log.
    retry_after_s : float
        Time after which capacity is expected, in seconds.
    has_turn : bool
        Whether room is kept for the request at that time.
    """

    def __init__(
        self, reason: str, retry_after_s: float, *, has_turn: bool = False
    ) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s
        self.has_turn = has_turn


class NoReachError(RequestRefusedError):
    """No server of the service can be reached from here, so a peer has to send it."""


class RequestHeldError(RequestRefusedError):
    """The request, or a part of its prompt, ends servers, so it is not sent on."""


class RequestFailedError(Exception):
    """The request may have run, but there is no response to relay.

    Parameters
    ----------
    reason : str
        Reason given to the client and the log.
    status : int
        HTTP status, 502 or 504; neither states whether the request ran.
    """

    def __init__(self, reason: str, status: int = 502) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """How a server's response ended.

    Parameters
    ----------
    framing : ResponseFraming
        What delimited its body.
    connection : str
        State of its connection then: open, closed in order, or an error.
    is_complete : bool
        Whether it was taken as complete.
    reason : str
        Why a response that only its connection delimits was taken as complete or not;
        empty for others.
    """

    framing: ResponseFraming
    connection: str
    is_complete: bool
    reason: str = ""


@dataclass(slots=True)
class RequestState:
    """A client request, and the sends and progress made for it.

    Parameters
    ----------
    exchange : Exchange or RelayedExchange
        Request of the client and the response to it, to the client or a peer.
    metadata : RequestMetadata
        Values of the request's headers.
    route : Route
        Route that the request matched.
    service : str
        Service that runs the request.
    account : Account or None
        Client account; None if the request needs no key.
    arrived_at : float
        Boot time of the request's arrival, in seconds.
    sends : int
        Number of times the request was sent to a server.
    last_sent_at : float
        Boot time of the last of these sends, in seconds; 0 before the first.
    runs : int
        Number of sends after which a server may have run the request.
    may_have_run : bool
        Whether any server may have run the request.
    servers : list of str
        Ids of the servers it was sent to, in order.
    server_versions : list of str
        Software versions of these servers, in the same order.
    send_bases : list of SendBasis
        What the node knew of these servers as it sent, in the same order.
    first_event_s : float or None
        Time from arrival to the first event of a stream, in seconds.
    predicted_first_event_s : float or None
        That time as predicted when the stages were admitted, in seconds.
    stages_s : float or None
        Time until the outcome of its stages, in seconds, the way to their coordinator
        and back included; None without stages.
    silent_since : float
        Boot time of the last event sent to the client, or of the arrival, in seconds.
    stream_version : str or None
        Software version of the servers at which a stream has to go on; None while it
        may begin at any.
    version_source : str
        Who knew that version of a stream that its client takes up; empty for others.
    version_answered_by : tuple of str
        Members that were asked for it and answered.
    failures_after_start : list of str
        Why sends gave the stream no further events after it had begun.
    response_end : ResponseEnd or None
        How the last response of a server ended.
    partial_event_bytes : int
        Bytes of that response after its last complete event.
    relayed_to : str
        Node that this one had serve the request, empty for none.
    relayed_from : str
        Node from which this one has the request, empty for a client.
    last_forwarded_id : bytes
        Id of the last event that the client has, as its stream goes on elsewhere.
    avoided_software : frozenset of str
        Services and software versions whose servers have ended under the request.
    """

    exchange: Exchange | RelayedExchange
    metadata: RequestMetadata
    route: Route
    service: str
    account: Account | None
    arrived_at: float
    sends: int = 0
    last_sent_at: float = 0.0
    runs: int = 0
    may_have_run: bool = False
    servers: list[str] = field(default_factory=list)
    server_versions: list[str] = field(default_factory=list)
    send_bases: list[SendBasis] = field(default_factory=list)
    first_event_s: float | None = None
    predicted_first_event_s: float | None = None
    stages_s: float | None = None
    silent_since: float = 0.0
    stream_version: str | None = None
    version_source: str = ""
    version_answered_by: tuple[str, ...] = ()
    failures_after_start: list[str] = field(default_factory=list)
    response_end: ResponseEnd | None = None
    partial_event_bytes: int = 0
    avoided_software: frozenset[str] = frozenset()
    relayed_to: str = ""
    relayed_from: str = ""
    last_forwarded_id: bytes = b""
    _fingerprint: str = ""
    _exact_fingerprint: str = ""

    def __post_init__(self) -> None:
        self.silent_since = self.arrived_at

    @property
    def fingerprint(self) -> str:
        """Digest by which the request is recognized if it comes again."""
        if not self._fingerprint:
            request = self.exchange.request
            self._fingerprint = compute_fingerprint(
                self.account_name, request.target, request.body
            )
        return self._fingerprint

    @property
    def exact_fingerprint(self) -> str:
        """Digest by which it is told from others that have another method or query."""
        if not self._exact_fingerprint:
            request = self.exchange.request
            self._exact_fingerprint = compute_exact_fingerprint(
                self.fingerprint, request.method, request.target
            )
        return self._exact_fingerprint

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """Both digests, that of account, path and body first."""
        return self.fingerprint, self.exact_fingerprint

    @property
    def may_begin_stream(self) -> bool:
        """Whether it begins a stream that its client may take up again."""
        return self.route.is_resumable and not self.metadata.last_event_id

    @property
    def is_resumed_by_client(self) -> bool:
        """Whether the client has events of the stream and takes it up after them."""
        return bool(self.metadata.last_event_id)

    @property
    def cause_ids(self) -> tuple[str, ...]:
        """Ids of what may end the servers that run the request."""
        return (*self.metadata.shared_part_ids, *self.fingerprints)

    @property
    def origin(self) -> RequestOrigin:
        """Where the request came from."""
        return RequestOrigin(self.account_name, self.exchange.request.path)

    def allows_server(self, server: Server) -> bool:
        """Whether the request, or a stream that has begun, may go to a server."""
        if server.software in self.avoided_software:
            return False
        if self.stream_version is None:
            return True
        return server.software_version == self.stream_version

    @property
    def deadline_at(self) -> float:
        """Boot time of the client's deadline, in seconds."""
        deadline_s = self.metadata.deadline_s
        if deadline_s is None:
            deadline_s = DEFAULT_DEADLINE_S
        return self.arrived_at + deadline_s

    @property
    def end_at(self) -> float:
        """Boot time of the deadline or the route's timeout if earlier, in seconds."""
        return min(self.deadline_at, self.arrived_at + self.route.timeout_s)

    @property
    def time_left_s(self) -> float:
        """Time until `end_at`, in seconds."""
        return self.end_at - boot_time()

    @property
    def event_time_left_s(self) -> float:
        """Time until the client leaves if it receives no further event, in seconds."""
        max_silence_ends_at = self.silent_since + self.route.max_silence_s
        return min(self.time_left_s, max_silence_ends_at - boot_time())

    @property
    def objective_left_s(self) -> float:
        """Time until the first event is due by the route's objective, in seconds.

        A request that may have run before has missed the objective, as has a stream
        that its client takes up. They get the time until the client leaves.
        """
        if self.runs or self.is_resumed_by_client:
            return self.event_time_left_s
        return self.arrived_at + self.route.objective_s - boot_time()

    @property
    def stage_priority(self) -> int:
        """Rank among requests waiting for stages; the lowest goes first.

        A stream that its client takes up goes before new ones of its priority, and
        behind more urgent ones: it has the least time left, and would be refused as
        long as new ones fill the stages.
        """
        if self.is_resumed_by_client:
            return STAGE_RANKS_PER_PRIORITY * self.priority - 1
        return STAGE_RANKS_PER_PRIORITY * self.priority

    @property
    def priority(self) -> int:
        """Priority of the account, or of the route if the account has none."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def account_name(self) -> str:
        """Name of the client account, empty if there is none."""
        return self.account.name if self.account is not None else ""


__all__ = (
    "NoReachError",
    "RequestHeldError",
    "RequestFailedError",
    "RequestRefusedError",
    "RequestState",
    "ResponseEnd",
)
