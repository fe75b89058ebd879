"""Decides whether a node's configuration is fresh, and whether it must watch."""

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
# With at most this many peers, a node compares configurations with all of them.
FULL_MESH_PEERS = 8
# In a larger cluster, nodes whose configuration isn't confirmed start to watch one
# after another, spread over this time.
BACKUP_WATCHER_SPREAD_S = 15.0


class FreshView(Protocol):
    """Reports whether the node's view of the configuration is fresh."""

    def is_fresh(self) -> bool:
        """Whether the view is fresh enough for a coordinator to grant slots."""
        ...


@dataclass(frozen=True)
class _PeerView:
    """The last reply of a peer, with times of this node's monotonic clock.

    Parameters
    ----------
    requested_at : float
        Time at which this node sent the request that the peer replied to.
    key_value_at : float
        Time at which the peer last had contact with the key-value service.
    """

    requested_at: float
    key_value_at: float


class ViewFreshness:
    """Tracks when this node's configuration was last confirmed to be the newest.

    The view is fresh in two cases: the configuration was confirmed within
    `FRESHNESS_WINDOW_S`, by the key-value service itself or by a peer with the same
    configuration that had contact with it; or more than half of the known nodes
    replied within that time, where this node counts as one that did. It is never fresh
    while a peer has shown a newer revision. A reply counts from the time at which its
    request was sent, so that a late reply doesn't make the view fresh.

    Safe for all threads.

    Parameters
    ----------
    own_id : str
        Id of this node.
    clock : Clock
        Clock for the times of contacts.
    read_version : callable
        Returns the version of this node's configuration.
    list_known_ids : callable
        Returns the ids of the nodes known to be in the cluster, this one included.
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
        """Record that the state of the key-value service at a time is applied here."""
        with self._lock:
            self._key_value_at = max(self._key_value_at or at, at)
            self._confirmed_at = max(self._confirmed_at or at, at)

    def record_peer_reply(
        self, node_id: str, reply: ConfigReply, requested_at: float
    ) -> None:
        """Record a peer's reply to a request sent at a time."""
        version = self._read_version()
        is_same = (reply.revision, reply.digest) == (version.revision, version.digest)
        with self._lock:
            known = self._view_by_id.get(node_id)
            if known is not None and known.requested_at > requested_at:
                return
            # A new peer is assumed to have just contacted the key-value service, so
            # that it isn't replaced as a watcher before it has had time to do so.
            key_value_at = known.key_value_at if known else requested_at
            if reply.key_value_age_s is not None:
                key_value_at = requested_at - reply.key_value_age_s
            self._view_by_id[node_id] = _PeerView(requested_at, key_value_at)
            self._newest_seen_revision = max(self._newest_seen_revision, reply.revision)
            if is_same and reply.confirmed_age_s is not None:
                confirmed_at = requested_at - reply.confirmed_age_s
                self._confirmed_at = max(self._confirmed_at or 0.0, confirmed_at)

    def read_ages(self) -> tuple[float | None, float | None]:
        """Return the seconds since contact with the service and since confirmation."""
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
        """Whether this node must hold a watch on the key-value service.

        The live nodes are ranked by rendezvous hashing, and the first `watchers` of
        them watch. If they don't reach the service, others watch in their place: in a
        small cluster the next nodes in rank, until enough reach it; in a large one,
        where a node has contact with few others at a time, those whose own
        configuration hasn't been confirmed for long, the higher in rank the sooner.
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
