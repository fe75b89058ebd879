"""Stops a node without aborting requests or refusing callers sent to it."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from loguru import logger
from returns.result import Failure as Err

from persimmonlink_model.membership import SUSPECT_AFTER_S
from persimmonlink_node.peer_links import HEARTBEAT_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from returns.result import Result

    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_model.result_code import Failure
    from persimmonlink_node.entry_discovery import EntryDiscovery
    from persimmonlink_node.member_view import MemberView
    from persimmonlink_node.node_state import NodeIdentity
    from persimmonlink_peers.membership_messages import HeartbeatReply

# A caller may open a connection just before its cached entry answer expires.
CALLER_CONNECT_MARGIN_S = 1.0
# A peer that has received no heartbeat from this node for so long suspects it and
# no longer advertises it.
PEER_SUSPECTS_AFTER_S = SUSPECT_AFTER_S + HEARTBEAT_TIMEOUT_S
MAX_PARALLEL_NOTIFICATIONS = 8
POLL_INTERVAL_S = 0.05
RETRY_INTERVAL_S = 0.2
# The last responses must be written and read before the port is closed.
CLOSE_QUIET_PERIOD_S = 0.2


class HeartbeatSender(Protocol):
    """Sends a heartbeat to a peer outside the regular interval."""

    def send_heartbeat(self, node_id: str) -> Result[HeartbeatReply, Failure]:
        """Return the peer's reply, or fail with `PEER_UNREACHABLE`."""
        ...


class RequestGate(Protocol):
    """Admits callers' requests to the node."""

    def start_closing(self) -> None:
        """Run no new requests, and close each connection after its next response."""
        ...

    def count_open(self) -> int:
        """Return the number of requests that run or whose response is unwritten."""
        ...


class GracefulStop:
    """Runs the phases of a planned stop.

    The node is first marked as leaving, so that it and the peers that know of it no
    longer advertise it to callers. Each peer then reports when it last advertised the
    node. New callers are served until the last entry answer that lists the node has
    expired in the callers' caches. Then the node accepts no new requests, drains those
    that run, and transfers its kept state.

    Parameters
    ----------
    identity : NodeIdentity
        Identity of this node.
    members : MemberView
        Membership view in which this node is marked as leaving.
    heartbeat_sender : HeartbeatSender
        Notifies peers that this node is leaving.
    entry_discovery : EntryDiscovery
        Reports when this node last advertised itself.
    gate : RequestGate
        Closed when no caller can hold an unexpired entry answer.
    clock : Clock
        Clock for the times of advertisements.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        members: MemberView,
        heartbeat_sender: HeartbeatSender,
        entry_discovery: EntryDiscovery,
        gate: RequestGate,
        clock: Clock,
    ) -> None:
        self.state_transfers: list[Callable[[], None]] = []
        self._identity = identity
        self._members = members
        self._heartbeat_sender = heartbeat_sender
        self._entry_discovery = entry_discovery
        self._gate = gate
        self._clock = clock
        self._pause = threading.Event()

    def run(self) -> None:
        """Run all phases; return when no request runs and state is transferred."""
        self._members.mark_leaving()
        last_advertised_at = self._find_last_advertised_at()
        if last_advertised_at is not None:
            serve_until = (
                last_advertised_at
                + self._entry_discovery.ttl_s
                + CALLER_CONNECT_MARGIN_S
            )
            self._serve_until(serve_until)
        self._gate.start_closing()
        self._drain_requests()
        transfer_kept_state(self.state_transfers)

    def _find_last_advertised_at(self) -> float | None:
        """Notify all peers and return when this node was last advertised, or None."""
        advertised_at = [
            self._entry_discovery.last_advertised_at(self._identity.node_id)
        ]
        ttl_s = self._entry_discovery.ttl_s
        pending_ids = set(
            self._members.list_contacted_within(PEER_SUSPECTS_AFTER_S + ttl_s)
        )
        with ThreadPoolExecutor(MAX_PARALLEL_NOTIFICATIONS) as threads:
            while pending_ids:
                ordered_ids = sorted(pending_ids)
                for node_id, notified in zip(
                    ordered_ids,
                    threads.map(self._notify_peer, ordered_ids),
                    strict=True,
                ):
                    if notified is None:
                        continue
                    pending_ids.discard(node_id)
                    advertised_at.append(notified.advertised_at)
                if pending_ids:
                    self._pause.wait(RETRY_INTERVAL_S)
        return max((at for at in advertised_at if at is not None), default=None)

    def _notify_peer(self, node_id: str) -> _NotifiedPeer | None:
        """Notify a peer that this node is leaving; return None to try again later.

        A peer that can't be reached counts as having advertised this node until the
        peer must suspect this node for lack of heartbeats.
        """
        result = self._heartbeat_sender.send_heartbeat(node_id)
        now = self._clock.monotonic()
        if not isinstance(result, Err):
            age_s = result.unwrap().named_age_s
            return _NotifiedPeer(None if age_s is None else now - age_s)
        contact_at = self._members.last_contact_at(node_id) or now
        suspected_at = contact_at + PEER_SUSPECTS_AFTER_S
        if now < suspected_at:
            return None
        logger.info("peer {} could not be notified that this node is leaving", node_id)
        return _NotifiedPeer(suspected_at)

    def _serve_until(self, due_at: float) -> None:
        remaining_s = due_at - self._clock.monotonic()
        logger.info(
            "leaving; serving new callers for {:.1f} s more", max(0.0, remaining_s)
        )
        while self._clock.monotonic() < due_at:
            self._pause.wait(POLL_INTERVAL_S)

    def _drain_requests(self) -> None:
        logger.info("closing; {} requests open", self._gate.count_open())
        idle_since = self._clock.monotonic()
        while self._clock.monotonic() - idle_since < CLOSE_QUIET_PERIOD_S:
            if self._gate.count_open():
                idle_since = self._clock.monotonic()
            self._pause.wait(POLL_INTERVAL_S)


@dataclass(frozen=True)
class _NotifiedPeer:
    """A peer that needs no further notification, and when it last advertised the node.

    Parameters
    ----------
    advertised_at : float or None
        Monotonic time in seconds, or None if it never advertised this node.
    """

    advertised_at: float | None


def transfer_kept_state(state_transfers: Sequence[Callable[[], None]]) -> None:
    """Run all state transfers; a failed one doesn't keep the others from running."""
    for transfer in state_transfers:
        try:
            transfer()
        except Exception:
            logger.exception("transferring kept state failed")


__all__ = ("CALLER_CONNECT_MARGIN_S", "GracefulStop", "HeartbeatSender", "RequestGate")
