"""Assigns free slots of one service to queued requests."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from returns.result import Failure as Err
from returns.result import Result, Success

from persimmonlink_model.request_queue import QueueEntry
from persimmonlink_model.result_code import Failure, ResultCode
from persimmonlink_model.slots import SlotGrant, SlotTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_interfaces.cancellation import Cancellation
    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_model.deadline import Deadline
    from persimmonlink_model.request_queue import RequestQueue
    from persimmonlink_node.server_chooser import ServerChooser

RETRY_AFTER_S = 1.0
# Requests are refused at once after this time without grants. It is longer than a pool
# goes without grants while its coordinator changes.
MAX_TIME_WITHOUT_GRANT_S = 5.0


@dataclass
class _Waiter:
    queue_entry: QueueEntry
    ready: threading.Event = field(default_factory=threading.Event)
    server_id: str = ""


@dataclass(frozen=True)
class SlotLease:
    """A slot held by one request.

    Parameters
    ----------
    server_id : str
        Server that the slot belongs to.
    queue_entry : QueueEntry
        Queue entry of the request that holds the slot.
    waited_s : float
        Time the request waited for the slot, in seconds.
    """

    server_id: str
    queue_entry: QueueEntry
    waited_s: float


@dataclass(frozen=True)
class ServiceDemand:
    """Slots of one service that a node uses and needs.

    Parameters
    ----------
    in_flight_by_server : Mapping of str to int
        Requests in flight on each server.
    need_by_account : Mapping of str to int
        Requests of each account that are in flight or queued now.
    """

    in_flight_by_server: Mapping[str, int]
    need_by_account: Mapping[str, int]


class ServiceDispatcher:
    """Slots and the request queue of one service on this node.

    Parameters
    ----------
    service : str
        Name of the service.
    queue : RequestQueue
        Queued requests, in the order in which they get slots.
    chooser : ServerChooser
        Chooses among the servers with a free slot.
    clock : Clock
        Time source.
    """

    def __init__(
        self, service: str, queue: RequestQueue, chooser: ServerChooser, clock: Clock
    ) -> None:
        self.service = service
        self._queue = queue
        self._chooser = chooser
        self._clock = clock
        self._lock = threading.Lock()
        self._table = SlotTable()
        self._waiter_by_id: dict[int, _Waiter] = {}
        self._entry_ids = itertools.count(1)
        self._shared_slots = 0
        self._last_granted_at = clock.monotonic()
        self._on_starved: Callable[[], None] | None = None

    def set_starved_callback(self, on_starved: Callable[[], None]) -> None:
        """Set the callback for a request that must wait while no other one does."""
        self._on_starved = on_starved

    def acquire(
        self,
        queue_entry: QueueEntry,
        max_queued: int,
        deadline: Deadline,
        cancelled: Cancellation,
    ) -> Result[SlotLease, Failure]:
        """Wait for a slot.

        Parameters
        ----------
        queue_entry : QueueEntry
            Entry to queue; its `entry_id` is replaced by a unique one.
        max_queued : int
            Maximum number of queued requests of the account.
        deadline : Deadline
            Latest time to wait until.
        cancelled : Cancellation
            Ends the wait when it is set.

        Returns
        -------
        Result of SlotLease
            Fails with `OVERLOADED`, `DEADLINE_UNREACHABLE`, `NO_SERVER` or
            `CANCELLED`; the request was not sent to any server then.
        """
        started_at = self._clock.monotonic()
        with self._lock:
            since_last_grant_s = started_at - self._last_granted_at
            if since_last_grant_s >= MAX_TIME_WITHOUT_GRANT_S:
                return Err(self._build_no_grant_failure())
            waiting_by_account = self._queue.count_by_account()
            queued = waiting_by_account.get(queue_entry.account, 0)
            if queued >= max_queued:
                detail = (
                    f"{queued} requests of {queue_entry.account} are already queued"
                )
                return Err(
                    Failure(ResultCode.OVERLOADED, detail, retry_after_s=RETRY_AFTER_S)
                )
            waiter = _Waiter(replace(queue_entry, entry_id=next(self._entry_ids)))
            self._waiter_by_id[waiter.queue_entry.entry_id] = waiter
            self._queue.add(waiter.queue_entry)
            self._assign_free_slots()
        if not waiter.ready.is_set():
            if not waiting_by_account and self._on_starved is not None:
                self._on_starved()
            subscription_id = cancelled.subscribe(waiter.ready.set)
            wait_s = min(
                deadline.remaining_s(started_at),
                MAX_TIME_WITHOUT_GRANT_S - since_last_grant_s,
            )
            waiter.ready.wait(wait_s)
            cancelled.unsubscribe(subscription_id)
        return self._build_result(waiter, started_at, cancelled)

    def _build_no_grant_failure(self) -> Failure:
        """Return the failure for a node without grants, such as a partitioned one."""
        detail = f"this node holds no slot grants for service {self.service}"
        return Failure(ResultCode.NO_SERVER, detail, retry_after_s=RETRY_AFTER_S)

    def release(self, lease: SlotLease, cost: float) -> None:
        """Release a slot and adjust the account's charge to the measured cost."""
        with self._lock:
            self._table.release_slot(lease.server_id, lease.queue_entry.account)
            self._queue.charge(lease.queue_entry, cost - lease.queue_entry.cost)
            self._assign_free_slots()

    def may_send(self, server_id: str) -> bool:
        """Whether this node holds an unexpired grant on the server."""
        with self._lock:
            return self._table.has_live_grant(server_id, self._clock.monotonic())

    def set_grants(
        self,
        grant_by_server: Mapping[str, SlotGrant],
        slots_by_account: Mapping[str, int] | None = None,
        shared_slots: int = 0,
    ) -> None:
        """Replace all grants.

        Parameters
        ----------
        grant_by_server : Mapping of str to SlotGrant
            New grants; a server that is missing has no grant.
        slots_by_account : Mapping of str to int, optional
            Slots reserved for each account.
        shared_slots : int
            Total slots of the service's pools over all nodes, for the status endpoint.
            While it is above 0, requests wait even if this node holds no grant.
        """
        with self._lock:
            self._shared_slots = shared_slots
            self._table.replace_grants(grant_by_server, slots_by_account or {})
            now = self._clock.monotonic()
            if shared_slots or self._table.list_granted(now):
                self._last_granted_at = now
            self._assign_free_slots()

    def drop_grant(self, server_id: str) -> None:
        """Discard the grant on a server, so that no further request is sent to it."""
        with self._lock:
            self._table.discard_grant(server_id)

    def describe(self) -> dict[str, object]:
        """Return grants, requests in flight and queue lengths, for operators."""
        now = self._clock.monotonic()
        with self._lock:
            return {
                "granted": {
                    server_id: grant.slots
                    for server_id, grant in self._table.grant_by_server.items()
                    if grant.expires_at > now
                },
                "shared_slots": self._shared_slots,
                "in_flight": dict(self._table.in_flight_by_server),
                "waiting": self._queue.count_by_account(),
            }

    def read_demand(self) -> ServiceDemand:
        """Return the slots in use and the slots needed now.

        Reporting more than the current need, such as a recent peak, would make the
        pool look contended and limit accounts to their shares while slots are idle.
        """
        with self._lock:
            need_by_account = self._queue.count_by_account()
            for account, in_flight in self._table.in_flight_by_account.items():
                waiting = need_by_account.get(account, 0)
                need_by_account[account] = waiting + in_flight
            return ServiceDemand(dict(self._table.in_flight_by_server), need_by_account)

    def _build_result(
        self, waiter: _Waiter, started_at: float, cancelled: Cancellation
    ) -> Result[SlotLease, Failure]:
        waited_s = self._clock.monotonic() - started_at
        with self._lock:
            self._waiter_by_id.pop(waiter.queue_entry.entry_id, None)
            if waiter.server_id:
                return Success(
                    SlotLease(waiter.server_id, waiter.queue_entry, waited_s)
                )
            self._queue.remove(waiter.queue_entry)
            has_grants = bool(self._table.grant_by_server) or self._shared_slots > 0
        if cancelled.is_set():
            return Err(
                Failure(ResultCode.CANCELLED, "cancelled while queued for a slot")
            )
        detail = f"no slot of service {self.service} became free in {waited_s:.3f} s"
        code = ResultCode.DEADLINE_UNREACHABLE if has_grants else ResultCode.NO_SERVER
        return Err(Failure(code, detail, retry_after_s=RETRY_AFTER_S))

    def _assign_free_slots(self) -> None:
        now = self._clock.monotonic()
        free_by_server = self._table.list_free(now)
        while free_by_server:
            queue_entry = self._find_next_entry(free_by_server)
            if queue_entry is None:
                return
            usable = _remove_excluded(free_by_server, queue_entry.excluded)
            server_id = self._chooser.choose(queue_entry, usable)
            self._table.acquire_slot(server_id, queue_entry.account, now)
            self._queue.remove(queue_entry)
            self._queue.charge(queue_entry, queue_entry.cost)
            waiter = self._waiter_by_id[queue_entry.entry_id]
            waiter.server_id = server_id
            waiter.ready.set()
            free_by_server = self._table.list_free(now)

    def _find_next_entry(self, free_by_server: Mapping[str, int]) -> QueueEntry | None:
        first: QueueEntry | None = None
        for queue_entry in self._queue.iterate():
            if not _remove_excluded(free_by_server, queue_entry.excluded):
                continue
            if self._table.has_unused_share(queue_entry.account):
                return queue_entry
            # Slots that their accounts leave unused go to the first queued entry.
            first = first or queue_entry
        return first


def _remove_excluded(
    free_by_server: Mapping[str, int], excluded: frozenset[str]
) -> Mapping[str, int]:
    if not excluded:
        return free_by_server
    return {s: free for s, free in free_by_server.items() if s not in excluded}


__all__ = ("ServiceDemand", "ServiceDispatcher", "SlotLease")
