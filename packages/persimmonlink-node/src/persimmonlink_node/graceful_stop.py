"""A planned stop that cuts no request off and refuses none that has time left."""

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
    from persimmonlink_node.address_book import AddressBook
    from persimmonlink_node.member_view import MemberView
    from persimmonlink_node.node_state import NodeIdentity
    from persimmonlink_peers.membership_messages import HeartbeatReply

# A caller may open a connection just before its answer expires.
CALLER_MARGIN_S = 1.0
# A peer that didn't hear this node for so long names it no more.
UNHEARD_AFTER_S = SUSPECT_AFTER_S + HEARTBEAT_TIMEOUT_S
MAX_TELLING = 8
POLL_INTERVAL_S = 0.05
RETRY_INTERVAL_S = 0.2
# The last answers must be written and read before the port is closed.
QUIET_S = 0.2


class PeerTeller(Protocol):
    """Sends a heartbeat to one peer at once."""

    def send_heartbeat(self, node_id: str) -> Result[HeartbeatReply, Failure]:
        """Return the peer's reply, or fail with `PEER_UNREACHABLE`."""
        ...


class RequestGate(Protocol):
    """What callers reach the node through."""

    def start_closing(self) -> None:
        """Run no new requests, and end each connection with its next answer."""
        ...

    def count_open(self) -> int:
        """Return the requests that run or whose answers are not written yet."""
        ...


class GracefulStop:
    """Runs the phases of a planned stop.

    The node is marked as leaving first, so that neither it nor a peer that knows names
    it to callers any more. Then each peer says when it last named the node. New
    callers are served until the last of these answers has expired.

    Parameters
    ----------
    identity : NodeIdentity
        This node.
    members : MemberView
        Marked and read.
    teller : PeerTeller
        Tells peers.
    addresses : AddressBook
        Says when this node named itself last.
    gate : RequestGate
        Closed at the end.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        members: MemberView,
        teller: PeerTeller,
        addresses: AddressBook,
        gate: RequestGate,
        clock: Clock,
    ) -> None:
        self.hand_overs: list[Callable[[], None]] = []
        self._identity = identity
        self._members = members
        self._teller = teller
        self._addresses = addresses
        self._gate = gate
        self._clock = clock
        self._pause = threading.Event()

    def run(self) -> None:
        """Return when nothing runs any more and kept results were handed over."""
        self._members.mark_leaving()
        last_named_at = self._find_last_naming()
        if last_named_at is not None:
            serve_until = last_named_at + self._addresses.ttl_s + CALLER_MARGIN_S
            self._serve_until(serve_until)
        self._gate.start_closing()
        self._finish_requests()
        run_hand_overs(self.hand_overs)

    def _find_last_naming(self) -> float | None:
        """Tell all peers and return when this node was last named to a caller."""
        named_at = [self._addresses.last_named_at(self._identity.node_id)]
        ttl_s = self._addresses.ttl_s
        untold = set(self._members.list_heard_within(UNHEARD_AFTER_S + ttl_s))
        with ThreadPoolExecutor(MAX_TELLING) as threads:
            while untold:
                order = sorted(untold)
                for node_id, told in zip(
                    order, threads.map(self._tell, order), strict=True
                ):
                    if told is None:
                        continue
                    untold.discard(node_id)
                    named_at.append(told.named_at)
                if untold:
                    self._pause.wait(RETRY_INTERVAL_S)
        return max((at for at in named_at if at is not None), default=None)

    def _tell(self, node_id: str) -> _Told | None:
        """Tell a peer; return None if it must be told again."""
        answered = self._teller.send_heartbeat(node_id)
        now = self._clock.monotonic()
        if not isinstance(answered, Err):
            age_s = answered.unwrap().named_age_s
            return _Told(None if age_s is None else now - age_s)
        heard_at = self._members.last_heard_at(node_id) or now
        unheard_at = heard_at + UNHEARD_AFTER_S
        if now < unheard_at:
            return None
        logger.info("{} could not be told that this node leaves", node_id)
        return _Told(unheard_at)

    def _serve_until(self, due_at: float) -> None:
        left_s = due_at - self._clock.monotonic()
        logger.info("leaving; callers may still come for {:.1f} s", max(0.0, left_s))
        while self._clock.monotonic() < due_at:
            self._pause.wait(POLL_INTERVAL_S)

    def _finish_requests(self) -> None:
        logger.info("closing; {} requests run", self._gate.count_open())
        quiet_since = self._clock.monotonic()
        while self._clock.monotonic() - quiet_since < QUIET_S:
            if self._gate.count_open():
                quiet_since = self._clock.monotonic()
            self._pause.wait(POLL_INTERVAL_S)


@dataclass(frozen=True)
class _Told:
    """A peer that needn't be told again, and when it last named this node."""

    named_at: float | None


def run_hand_overs(hand_overs: Sequence[Callable[[], None]]) -> None:
    """Run what passes on kept state; one that fails doesn't stop the others."""
    for hand_over in hand_overs:
        try:
            hand_over()
        except Exception:
            logger.exception("handing over failed")


__all__ = ("CALLER_MARGIN_S", "GracefulStop", "PeerTeller", "RequestGate")
