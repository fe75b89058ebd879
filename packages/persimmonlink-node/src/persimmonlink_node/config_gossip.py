"""Replicates configuration records among the nodes by gossip."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from loguru import logger
from returns.result import Failure as Err

from persimmonlink_interfaces.key_value import KeyValue
from persimmonlink_node.record_codec import CONFIG_PREFIX, encode_record
from persimmonlink_node.view_freshness import FULL_MESH_PEERS
from persimmonlink_peers.config_messages import (
    ConfigEntry,
    ConfigFetch,
    ConfigPush,
    ConfigReply,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_model.membership import Member
    from persimmonlink_model.record import Record
    from persimmonlink_node.control_loop import ControlLoop
    from persimmonlink_node.member_view import MemberView
    from persimmonlink_node.node_state import NodeState
    from persimmonlink_node.peer_links import PeerLinks
    from persimmonlink_node.view_freshness import ViewFreshness
    from persimmonlink_peers.peer_server import PeerServer

CALL_TIMEOUT_S = 1.0
FAN_OUT = 3
MAX_ENTRIES_PER_MESSAGE = 200
UNUSED_DIGEST = 0  # Digest of a configuration without records.


class ConfigGossip:
    """Pushes new records to peers, and periodically compares configurations with them.

    With up to `FULL_MESH_PEERS` peers, every push and comparison goes to all of them.
    With more, each goes to `FAN_OUT` random peers, and every peer in turn pushes the
    records that are new to it.

    Parameters
    ----------
    state : NodeState
        Configuration that records are applied to and read from.
    members : MemberView
        Source of the live peers.
    links : PeerLinks
        Sends messages to peers.
    server : PeerServer
        Serves the messages of peers.
    freshness : ViewFreshness
        Records the replies of peers.
    control : ControlLoop
        Runs the tasks.
    clock : Clock
        Clock for the times of calls.
    rng : random.Random
        Generator that chooses peers.
    interval_s : float
        Seconds between two rounds of comparisons.
    """

    def __init__(
        self,
        state: NodeState,
        members: MemberView,
        links: PeerLinks,
        server: PeerServer,
        freshness: ViewFreshness,
        control: ControlLoop,
        clock: Clock,
        rng: random.Random,
        interval_s: float,
    ) -> None:
        self._state = state
        self._members = members
        self._links = links
        self._freshness = freshness
        self._control = control
        self._clock = clock
        self._rng = rng
        self._interval_s = interval_s
        self._comparing_ids: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._has_full_copy = False
        server.register(ConfigPush, ConfigReply, self._handle_push)
        server.register(ConfigFetch, ConfigReply, self._handle_fetch)
        state.set_applied_listener(self._push_in_background)

    def start(self) -> None:
        """Start the periodic comparisons."""
        self._control.submit(self._compare_forever())

    def _push_in_background(self, records: list[Record]) -> None:
        """Push records that were new to this node; safe for all threads."""
        self._control.submit(self._push(records))

    async def _push(self, records: Sequence[Record]) -> None:
        for start in range(0, len(records), MAX_ENTRIES_PER_MESSAGE):
            entries = tuple(
                map(_to_entry, records[start : start + MAX_ENTRIES_PER_MESSAGE])
            )
            message = ConfigPush(self._links.sender, entries)
            for peer in self._choose_peers():
                self._spawn(self._call(peer.node_id, message))

    async def _compare_forever(self) -> None:
        while True:
            for peer in self._choose_peers():
                if peer.node_id in self._comparing_ids:
                    continue
                self._comparing_ids.add(peer.node_id)
                self._spawn(self._compare(peer.node_id))
            await asyncio.sleep(self._interval_s)

    async def _compare(self, node_id: str) -> None:
        """Fetch a peer's newer records, or all at first and if older ones differ.

        Equal revisions with different digests mean that a record below the newest is
        missing on one side.
        """
        try:
            version = self._state.version
            after = version.revision if self._has_full_copy else 0
            reply = await self._fetch(node_id, after)
            if reply is None:
                return
            version = self._state.version
            is_same_revision = version.revision == reply.revision
            if is_same_revision and version.digest != reply.digest and after:
                reply = await self._fetch(node_id, 0)
            self._has_full_copy = self._has_full_copy or reply is not None
        finally:
            self._comparing_ids.discard(node_id)

    async def _fetch(self, node_id: str, after: int) -> ConfigReply | None:
        """Fetch a peer's records in pages; return the last reply or None on failure."""
        fetches_all = after == 0
        while True:
            version = self._state.version
            # The unused digest makes the peer send its records even if the digests are
            # equal: it may have a record in force that this node lacks.
            digest = UNUSED_DIGEST if fetches_all else version.digest
            message = ConfigFetch(self._links.sender, version.revision, digest, after)
            reply = await self._call(node_id, message)
            if reply is None or len(reply.entries) < MAX_ENTRIES_PER_MESSAGE:
                return reply
            after = reply.entries[-1].revision

    async def _call(self, node_id: str, message: Any) -> ConfigReply | None:
        requested_at = self._clock.monotonic()
        result = await self._links.call(node_id, message, ConfigReply, CALL_TIMEOUT_S)
        if isinstance(result, Err):
            logger.debug("configuration call failed: {}", result.failure().detail)
            return None
        reply: ConfigReply = result.unwrap()
        self._apply_config_entries(reply.entries)
        self._freshness.record_peer_reply(node_id, reply, requested_at)
        return reply

    async def _handle_push(self, message: ConfigPush) -> ConfigReply:
        self._apply_config_entries(message.entries)
        return self._build_reply(())

    async def _handle_fetch(self, message: ConfigFetch) -> ConfigReply:
        version = self._state.version
        if (message.revision, message.digest) == (version.revision, version.digest):
            return self._build_reply(())
        records = self._state.list_newer(message.after)
        entries = [_to_entry(record) for record in records]
        for unreadable in self._state.list_unreadable(message.after):
            entries.append(
                ConfigEntry(unreadable.path, unreadable.value, unreadable.revision)
            )
        entries.sort(key=lambda entry: entry.revision)
        return self._build_reply(tuple(entries[:MAX_ENTRIES_PER_MESSAGE]))

    def _build_reply(self, entries: tuple[ConfigEntry, ...]) -> ConfigReply:
        # The ages are read before the version. A confirmation in between would
        # otherwise be reported together with the older version.
        key_value_age_s, confirmed_age_s = self._freshness.read_ages()
        version = self._state.version
        return ConfigReply(
            version.revision, version.digest, key_value_age_s, confirmed_age_s, entries
        )

    def _apply_config_entries(self, entries: Iterable[ConfigEntry]) -> None:
        is_large = len(self._members.list_live()) > FULL_MESH_PEERS + 1
        stored = [
            KeyValue(f"{CONFIG_PREFIX}{entry.path}", entry.value, entry.revision)
            for entry in entries
        ]
        self._state.apply_entries(stored, announce=is_large)

    def _choose_peers(self) -> list[Member]:
        own_id = self._links.sender.node_id
        peers = [m for m in self._members.list_live() if m.node_id != own_id]
        if len(peers) <= FULL_MESH_PEERS:
            return peers
        return self._rng.sample(peers, FAN_OUT)

    def _spawn(self, coroutine: Any) -> None:
        # The event loop keeps only weak references to tasks.
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _to_entry(record: Record) -> ConfigEntry:
    return ConfigEntry(record.path, encode_record(record), record.revision)


__all__ = ("ConfigGossip",)
