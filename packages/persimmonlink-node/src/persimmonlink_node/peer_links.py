"""Links to the other nodes: one task a peer discovers it and sends heartbeats."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger
from returns.result import Failure as Err
from returns.result import Result
from urllib3.exceptions import HTTPError

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
CALL_MARGIN_S = 0.5
IDLE_CHANNEL_S = 30.0


class PeerLinks:
    """Sends heartbeats to the node's successors and calls peers.

    Parameters
    ----------
    identity : NodeIdentity
        This node.
    state : NodeState
        Lists the entry VMs.
    members : MemberView
        The nodes as they are known.
    heartbeats : Heartbeats
        Makes heartbeats and takes in their replies.
    settings : MembershipSettings
        Fan-out and interval.
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
        """Start the task that follows the list of entry VMs."""
        self._control.submit(self._follow_entry_vms())

    async def call(
        self, node_id: str, message: Any, reply_type: type, timeout_s: float
    ) -> Result[Any, Failure]:
        """Call a peer by its name; must run on the control loop.

        Fails with `PEER_UNREACHABLE`; the peer may have handled the message. A peer
        that is only known from reports and doesn't answer is taken for dead until it
        is heard of again.
        """
        peer_address = await self._find_address(node_id)
        if not peer_address:
            detail = f"{node_id} is not known"
            return Err(Failure(ResultCode.PEER_UNREACHABLE, detail))
        answered = await self._open(peer_address).call(message, reply_type, timeout_s)
        if _is_unreachable(answered) and not self._members.is_neighbour(node_id):
            self._members.note_unanswering(node_id)
        return answered

    def call_and_wait(
        self, node_id: str, message: Any, reply_type: type, timeout_s: float
    ) -> Result[Any, Failure]:
        """Call a peer from a thread of the request path."""
        coroutine = self.call(node_id, message, reply_type, timeout_s)
        try:
            return self._control.run(coroutine, timeout_s + CALL_MARGIN_S)
        except TimeoutError:
            detail = f"{node_id} did not answer in {timeout_s} s"
            return Err(Failure(ResultCode.PEER_UNREACHABLE, detail, RunState.UNKNOWN))

    def send_heartbeat(self, node_id: str) -> Result[HeartbeatReply, Failure]:
        """Send a peer a heartbeat now, from any thread, and wait for its reply."""
        coroutine = self._send_heartbeat(node_id)
        try:
            return self._control.run(coroutine, HEARTBEAT_TIMEOUT_S + CALL_MARGIN_S)
        except TimeoutError:
            return Err(Failure(ResultCode.PEER_UNREACHABLE, node_id, RunState.UNKNOWN))

    async def _send_heartbeat(self, node_id: str) -> Result[HeartbeatReply, Failure]:
        member = self._members.find(node_id)
        if member is None:
            return Err(Failure(ResultCode.PEER_UNREACHABLE, f"{node_id} is not known"))
        return await self._exchange(member.peer_address, node_id)

    async def _exchange(
        self, peer_address: str, node_id: str
    ) -> Result[HeartbeatReply, Failure]:
        message = self._heartbeats.make(node_id)
        answered = await self._open(peer_address).call(
            message, HeartbeatReply, HEARTBEAT_TIMEOUT_S
        )
        if isinstance(answered, Err):
            logger.debug("no heartbeat: {}", answered.failure().detail)
        else:
            self._heartbeats.take_reply(node_id, answered.unwrap())
        return answered

    async def _find_address(self, node_id: str) -> str:
        member = self._members.find(node_id)
        if member is not None:
            return member.peer_address
        vm = self._state.find_vm(node_id)
        if vm is None:
            return ""
        found = await asyncio.to_thread(_discover, vm.address)
        return found.peer_address if found is not None else ""

    def _open(self, peer_address: str) -> PeerChannel:
        self._used_at_by_address[peer_address] = time.monotonic()
        channel = self._channel_by_address.get(peer_address)
        if channel is None:
            channel = PeerChannel(peer_address)
            self._channel_by_address[peer_address] = channel
        return channel

    def _close_idle_channels(self) -> None:
        now = time.monotonic()
        for address, used_at in list(self._used_at_by_address.items()):
            if now - used_at < IDLE_CHANNEL_S:
                continue
            del self._used_at_by_address[address]
            self._channel_by_address.pop(address).close()

    async def _follow_entry_vms(self) -> None:
        while True:
            wanted = self._list_successor_addresses()
            for address in wanted - self._task_by_address.keys():
                task = asyncio.create_task(self._keep_link(address))
                self._task_by_address[address] = task
            for address in self._task_by_address.keys() - wanted:
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

    async def _keep_link(self, http_address: str) -> None:
        """Send heartbeats to the node at an address, whichever node it is by then."""
        found: NodeIdentity | None = None
        while True:
            if found is None:
                found = await asyncio.to_thread(_discover, http_address)
            if found is not None:
                answered = await self._exchange(found.peer_address, found.node_id)
                if isinstance(answered, Err):
                    found = None
            await asyncio.sleep(self._settings.interval_s)


def _is_unreachable(answered: Result[Any, Failure]) -> bool:
    if not isinstance(answered, Err):
        return False
    return answered.failure().code is ResultCode.PEER_UNREACHABLE


def _discover(http_address: str) -> NodeIdentity | None:
    """Ask the node at an HTTP address who it is."""
    pool = create_pool(http_address)
    try:
        response = pool.urlopen(
            "GET",
            "/v1/admin/identity",
            timeout=create_timeout(DISCOVERY_TIMEOUT_S),
            redirect=False,
        )
        return msgspec.json.decode(response.data, type=NodeIdentity)
    except (HTTPError, OSError, msgspec.MsgspecError):
        return None
    finally:
        pool.close()


__all__ = ("PeerLinks",)
