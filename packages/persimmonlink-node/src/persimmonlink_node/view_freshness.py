"""Whether a node may trust that no newer configuration is in force."""

from __future__ import annotations

from dataclasses import dataclass
from threading import Lock
from typing import TYPE_CHECKING, Protocol

import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_node.node_state import ConfigurationVersion
    from persimmonlink_peers.config_messages import ConfigReply

FRESHNESS_WINDOW_S = 1.5
WATCHER_CONTACT_TIMEOUT_S = 2.5
# Up to this many peers a node compares configurations with all of them.
FULL_MESH_PEERS = 8
# In a larger cluster, nodes that hear nothing come in over this time.
BACKUP_WATCHER_SPREAD_S = 15.0


class FreshView(Protocol):
    """Tells whether the view of the configuration is fresh."""

    def is_fresh(self) -> bool:
        """Whether a coordinator may grant slots."""
        ...


@dataclass(frozen=True)
class _PeerView:
    """What a peer said last; times are of this node's monotonic clock."""

    requested_at: float
    key_value_at: float


class ViewFreshness:
    """What is known of the key-value service's and the peers' configurations.

    The view is fresh if lately either the key-value service itself, or a peer with
    the same configuration that reached it, showed nothing newer; or if more than half
    of the known members answered lately. It never is while any peer has shown a newer
    revision. A peer's answer counts from when it was asked, so that a late answer
    proves nothing.

    Safe for all threads.

    Parameters
    ----------
    own_id : str
        This node.
    clock : Clock
        Time.
    read_version : callable
        Returns the version of this node's configuration.
    list_known_ids : callable
        Returns the nodes that the cluster is known to have, this one included.
    """

    def __init__(
        self,
        own_id: str,
        clock: Clock,
        read_version: Callable[[], ConfigurationVersion],
        list_known_ids: Callable[[], Collection[str]],
    ) -> None:
        self._own_id = own_id
        self._clock = clock
        self._read_version = read_version
        self._list_known_ids = list_known_ids
        self._lock = Lock()
        self._key_value_at: float | None = None
        self._confirmed_at: float | None = None
        self._newest_seen_revision = 0
        self._view_by_id: dict[str, _PeerView] = {}

    def record_key_value_contact(self, at: float) -> None:
        """Note that all the key-value service held at a time is applied here."""
        with self._lock:
            self._key_value_at = max(self._key_value_at or at, at)
            self._confirmed_at = max(self._confirmed_at or at, at)

    def record_peer_reply(
        self, node_id: str, reply: ConfigReply, requested_at: float
    ) -> None:
        """Note what a peer answered to a question sent at a time."""
        version = self._read_version()
        is_same = (reply.revision, reply.digest) == (version.revision, version.digest)
        with self._lock:
            known = self._view_by_id.get(node_id)
            if known is not None and known.requested_at > requested_at:
                return
            # A peer not heard of before is given the time to reach the service.
            key_value_at = known.key_value_at if known else requested_at
            if reply.key_value_age_s is not None:
                key_value_at = requested_at - reply.key_value_age_s
            self._view_by_id[node_id] = _PeerView(requested_at, key_value_at)
            self._newest_seen_revision = max(self._newest_seen_revision, reply.revision)
            if is_same and reply.confirmed_age_s is not None:
                confirmed_at = requested_at - reply.confirmed_age_s
                self._confirmed_at = max(self._confirmed_at or 0.0, confirmed_at)

    def read_ages(self) -> tuple[float | None, float | None]:
        """Return seconds since own contact with the service and since confirmation."""
        now = self._clock.monotonic()
        with self._lock:
            return _compute_age(self._key_value_at, now), _compute_age(
                self._confirmed_at, now
            )

    def is_fresh(self) -> bool:
        """Whether no newer configuration can have been in force for long."""
        now = self._clock.monotonic()
        known_ids = set(self._list_known_ids()) | {self._own_id}
        own_revision = self._read_version().revision
        with self._lock:
            if self._newest_seen_revision > own_revision:
                return False
            age = _compute_age(self._confirmed_at, now)
            if age is not None and age <= FRESHNESS_WINDOW_S:
                return True
            recent_count = 1 + self._count_recent_replies(
                now, known_ids - {self._own_id}
            )
            return 2 * recent_count > len(known_ids)

    def should_watch(self, live_ids: Collection[str], watchers: int) -> bool:
        """Whether this node is to hold a watch on the key-value service.

        The live nodes are ranked by rendezvous hashing, and the first ones watch. When
        they don't reach the service, others stand in for them: in a small cluster the
        next ones in rank that do; in a large one, where a node hears from few others at
        a time, those whose own copy nobody has confirmed for long.
        """
        now = self._clock.monotonic()
        own_rank = _compute_rank(self._own_id)
        higher_ranked_ids = [
            n for n in live_ids if n != self._own_id and _compute_rank(n) > own_rank
        ]
        if len(higher_ranked_ids) < watchers:
            return True
        with self._lock:
            if len(live_ids) <= FULL_MESH_PEERS + 1:
                reaching_count = sum(
                    self._reaches_key_value(n, now) for n in higher_ranked_ids
                )
                return reaching_count < watchers
            age = _compute_age(self._confirmed_at, now)
        if age is None:
            return True
        extra_delay_s = BACKUP_WATCHER_SPREAD_S * len(higher_ranked_ids) / len(live_ids)
        return age > WATCHER_CONTACT_TIMEOUT_S + extra_delay_s

    def _reaches_key_value(self, node_id: str, now: float) -> bool:
        view = self._view_by_id.get(node_id)
        if view is None or now - view.requested_at > WATCHER_CONTACT_TIMEOUT_S:
            return False
        return now - view.key_value_at <= WATCHER_CONTACT_TIMEOUT_S

    def _count_recent_replies(self, now: float, node_ids: set[str]) -> int:
        views = [self._view_by_id[n] for n in node_ids if n in self._view_by_id]
        return sum(now - view.requested_at <= FRESHNESS_WINDOW_S for view in views)


def _compute_age(at: float | None, now: float) -> float | None:
    return None if at is None else now - at


def _compute_rank(node_id: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"config-watch/{node_id}".encode()), node_id


__all__ = ("FRESHNESS_WINDOW_S", "FULL_MESH_PEERS", "FreshView", "ViewFreshness")
