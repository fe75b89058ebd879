"""Connections to peers, and the tasks that send them heartbeats."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger
from returns.result import Failure as Err
from returns.result import Result
from urllib3.exceptions import HTTPError

from persimmonlink_interfaces.bounded_response import read_body
from persimmonlink_interfaces.connection import create_pool, create_timeout
from persimmonlink_model.heartbeat_ring import list_successors
from persimmonlink_model.result_code import Failure, ResultCode, RunState
from persimmonlink_node.node_state import NodeIdentity
from persimmonlink_peers.membership_messages import HeartbeatReply
from persimmonlink_peers.peer_channel import PeerChannel

if TYPE_CHECKING:
    from persimmonlink_node.control_loop import ControlLoop
    from persimmonlink_node.heartbeats import Heartbeats
    from persimmonlink_node.member_view import MemberView
    from persimmonlink_node.node_state import NodeState
    from persimmonlink_node.settings import MembershipSettings

HEARTBEAT_TIMEOUT_S = 1.0
DISCOVERY_TIMEOUT_S = 1.0
CALL_TIMEOUT_MARGIN_S = 0.5
CHANNEL_IDLE_TIMEOUT_S = 30.0


class PeerLinks:
    """Sends heartbeats to the node's successors on the ring, and calls peers.

    Each successor has a task of its own, which discovers the node at its address and
    then sends it heartbeats.

    Parameters
    ----------
    identity : NodeIdentity
        Identity of this node.
    state : NodeState
        Source of the entry VMs.
    members : MemberView
        Source of peers' addresses.
    heartbeats : Heartbeats
        Builds heartbeats and applies their replies.
    settings : MembershipSettings
        Fan-out and heartbeat interval.
    control : ControlLoop
        Runs the tasks.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        state: NodeState,
        members: MemberView,
        heartbeats: Heartbeats,
        settings: MembershipSettings,
        control: ControlLoop,
    ) -> None:
        self.sender = heartbeats.sender
        self._identity = identity
        self._state = state
        self._members = members
        self._heartbeats = heartbeats
        self._settings = settings
        self._control = control
        self._channel_by_address: dict[str, PeerChannel] = {}
        self._used_at_by_address: dict[str, float] = {}
        self._task_by_address: dict[str, asyncio.Task[None]] = {}

    def start(self) -> None:
        """Start the task that maintains the links to the successors."""
        self._control.submit(self._maintain_links())

    async def call(
        self, node_id: str, message: Any, reply_type: type, timeout_s: float
    ) -> Result[Any, Failure]:
        """Call a peer by its id; must run on the control loop.

        Fails with `PEER_UNREACHABLE`, in which case the peer may still have handled
        the message. An unreachable peer without recent direct contact is marked as
        unresponsive until a message from it or a new report about it arrives.
        """
        peer_address = await self._find_address(node_id)
        if not peer_address:
            detail = f"the address of peer {node_id} is unknown"
            return Err(Failure(ResultCode.PEER_UNREACHABLE, detail))
        result = await self._get_channel(peer_address).call(
            message, reply_type, timeout_s
        )
        if _is_unreachable(result) and not self._members.is_neighbour(node_id):
            self._members.mark_unresponsive(node_id)
        return result

    def call_and_wait(
        self, node_id: str, message: Any, reply_type: type, timeout_s: float
    ) -> Result[Any, Failure]:
        """Call a peer from a thread of the request path and wait for the reply."""
        coroutine = self.call(node_id, message, reply_type, timeout_s)
        try:
            return self._control.run(coroutine, timeout_s + CALL_TIMEOUT_MARGIN_S)
        except TimeoutError:
            detail = f"peer {node_id} did not answer within {timeout_s} s"
            return Err(Failure(ResultCode.PEER_UNREACHABLE, detail, RunState.UNKNOWN))

    def send_heartbeat(self, node_id: str) -> Result[HeartbeatReply, Failure]:
        """Send a peer a heartbeat now, from any thread, and wait for its reply."""
        coroutine = self._send_heartbeat(node_id)
        try:
            return self._control.run(
                coroutine, HEARTBEAT_TIMEOUT_S + CALL_TIMEOUT_MARGIN_S
            )
        except TimeoutError:
            return Err(Failure(ResultCode.PEER_UNREACHABLE, node_id, RunState.UNKNOWN))

    async def _send_heartbeat(self, node_id: str) -> Result[HeartbeatReply, Failure]:
        member = self._members.find(node_id)
        if member is None:
            return Err(
                Failure(ResultCode.PEER_UNREACHABLE, f"peer {node_id} is unknown")
            )
        return await self._exchange_heartbeat(member.peer_address, node_id)

    async def _exchange_heartbeat(
        self, peer_address: str, node_id: str
    ) -> Result[HeartbeatReply, Failure]:
        message = self._heartbeats.build_heartbeat(node_id)
        result = await self._get_channel(peer_address).call(
            message, HeartbeatReply, HEARTBEAT_TIMEOUT_S
        )
        if isinstance(result, Err):
            logger.debug("heartbeat failed: {}", result.failure().detail)
        else:
            self._heartbeats.apply_reply(node_id, result.unwrap())
        return result

    async def _find_address(self, node_id: str) -> str:
        member = self._members.find(node_id)
        if member is not None:
            return member.peer_address
        vm = self._state.find_vm(node_id)
        if vm is None:
            return ""
        peer_identity = await asyncio.to_thread(_fetch_identity, vm.address)
        return peer_identity.peer_address if peer_identity is not None else ""

    def _get_channel(self, peer_address: str) -> PeerChannel:
        self._used_at_by_address[peer_address] = time.monotonic()
        channel = self._channel_by_address.get(peer_address)
        if channel is None:
            channel = PeerChannel(peer_address)
            self._channel_by_address[peer_address] = channel
        return channel

    def _close_idle_channels(self) -> None:
        now = time.monotonic()
        for address, used_at in list(self._used_at_by_address.items()):
            if now - used_at < CHANNEL_IDLE_TIMEOUT_S:
                continue
            del self._used_at_by_address[address]
            self._channel_by_address.pop(address).close()

    async def _maintain_links(self) -> None:
        while True:
            successor_addresses = self._list_successor_addresses()
            for address in successor_addresses - self._task_by_address.keys():
                task = asyncio.create_task(self._exchange_heartbeats_forever(address))
                self._task_by_address[address] = task
            for address in self._task_by_address.keys() - successor_addresses:
                self._task_by_address.pop(address).cancel()
            self._close_idle_channels()
            await asyncio.sleep(self._settings.interval_s)

    def _list_successor_addresses(self) -> set[str]:
        address_by_id = {vm.vm_id: vm.address for vm in self._state.list_entry_vms()}
        successors = list_successors(
            self._identity.node_id,
            address_by_id,
            self._settings.fan_out,
            self._settings.far_fan_out,
        )
        return {address_by_id[node_id] for node_id in successors}

    async def _exchange_heartbeats_forever(self, http_address: str) -> None:
        """Send heartbeats to the node at an address.

        The node there is discovered again after each failure, since another node or
        incarnation may have taken the address.
        """
        peer_identity: NodeIdentity | None = None
        while True:
            if peer_identity is None:
                peer_identity = await asyncio.to_thread(_fetch_identity, http_address)
            if peer_identity is not None:
                result = await self._exchange_heartbeat(
                    peer_identity.peer_address, peer_identity.node_id
                )
                if isinstance(result, Err):
                    peer_identity = None
            await asyncio.sleep(self._settings.interval_s)


def _is_unreachable(result: Result[Any, Failure]) -> bool:
    if not isinstance(result, Err):
        return False
    return result.failure().code is ResultCode.PEER_UNREACHABLE


def _fetch_identity(http_address: str) -> NodeIdentity | None:
    """Fetch the identity of the node at an HTTP address, or None on failure."""
    pool = create_pool(http_address)
    try:
        response = pool.urlopen(
            "GET",
            "/v1/admin/identity",
            timeout=create_timeout(DISCOVERY_TIMEOUT_S),
            redirect=False,
            preload_content=False,
        )
        data = read_body(response, DISCOVERY_TIMEOUT_S)
        return msgspec.json.decode(data, type=NodeIdentity)
    except (HTTPError, OSError, msgspec.MsgspecError):
        return None
    finally:
        pool.close()


__all__ = ("PeerLinks",)
