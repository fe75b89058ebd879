"""How the memory and the descriptors of an entry VM are divided."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

BYTES_PER_MB = 1_000_000
USABLE_SHARE = 0.8  # Part of the memory that is planned; the rest is for peaks.
# Memory of a router without clients, and of a connection with a request under way: its
# task, and what was read of client and server and not yet parsed.
BASE_BYTES = 42_000_000
CONNECTION_BYTES = 80_000
MIN_CLIENT_CONNECTIONS = 64
MIN_BUFFER_BYTES = 8_000_000  # Least memory for bodies and buffers.
# Most bytes of bodies of requests, of responses, and of responses of stage servers,
# also where there is more memory.
MAX_REQUEST_BYTES = 67_108_864
MAX_RESPONSE_BYTES = 50_331_648
MAX_STAGE_BYTES = 16_777_216
REQUEST_SHARE = 0.35
RESPONSE_SHARE = 0.3
STAGE_SHARE = 0.2
# Bodies of requests that peers pass on, and messages of peers that arrived in part.
MAX_RELAYED_BYTES = 33_554_432
MAX_MESSAGE_BYTES = 33_554_432
RELAYED_SHARE = 0.1
MESSAGE_SHARE = 0.05
MIN_PEER_BYTES = 4_500_000  # Least memory of each; a body of the usual limit fits.
# Memory for bodies of requests, and for those of responses, in which one of the usual
# limit, 4 MB, fits; VMs have it that bear both.
MIN_BODY_BYTES = 6_000_000
# Part of the descriptors that clients may take. Each of them may need a connection to a
# server; the others are for peers, the store, and the other addresses.
CLIENT_DESCRIPTOR_SHARE = 0.26
PEER_DESCRIPTOR_SHARE = 0.25  # Part that connections of peers may take.
MAX_PEER_CONNECTIONS = 512  # More than there are nodes.
LOOKUP_DESCRIPTOR_SHARE = 0.06  # Part for lookups of entry addresses.
# Part for the readiness address, and as much for the metrics address.
OPERATOR_DESCRIPTOR_SHARE = 0.02
MIN_CONNECTIONS = 8  # Connections that each of these addresses has at least.
SMALL_SHARE = 0.3  # Part of the bodies' memory that short ones have to themselves.
CONNECTION_SHARE = 0.4  # Part of the memory that connections without bytes may take.


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """What clients' bytes may take, by what they are for.

    Parameters
    ----------
    request_bytes : int
        Bodies of requests.
    response_bytes : int
        Bodies of responses.
    stage_bytes : int
        Responses of stage servers.
    small_request_bytes, small_response_bytes : float
        What of them short bodies may take, and the first part of long ones.
    connections : int or None
        Connections of clients; None for no limit.
    relayed_bytes : int
        Bodies of requests that peers pass on.
    message_bytes, small_message_bytes : int
        Messages of peers that have arrived in part, and what short ones may take.
    peer_connections, lookup_connections, operator_connections : int or None
        Connections at the peers' and the directory's address, and at each of those of
        readiness and metrics; None for no limit.
    """

    request_bytes: int = MAX_REQUEST_BYTES
    response_bytes: int = MAX_RESPONSE_BYTES
    stage_bytes: int = MAX_STAGE_BYTES
    small_request_bytes: float = math.inf
    small_response_bytes: float = math.inf
    connections: int | None = None
    relayed_bytes: int = MAX_RELAYED_BYTES
    message_bytes: int = MAX_MESSAGE_BYTES
    small_message_bytes: int = int(SMALL_SHARE * MAX_MESSAGE_BYTES)
    peer_connections: int | None = None
    lookup_connections: int | None = None
    operator_connections: int | None = None

    @property
    def client_bytes(self) -> int:
        """Bytes that all client connections may hold together."""
        bodies = self.request_bytes + self.response_bytes
        small = self.small_request_bytes + self.small_response_bytes
        return bodies if math.isinf(small) else bodies + int(small)

    def for_lookups(self) -> MemoryPlan:
        """Return the plan of the directory's address."""
        return MemoryPlan(connections=self.lookup_connections)

    def for_operators(self) -> MemoryPlan:
        """Return the plan of the address of readiness checks, or of metrics."""
        return MemoryPlan(connections=self.operator_connections)


def plan_memory(memory_mb: float, max_descriptors: int) -> MemoryPlan:
    """Divide the memory and the descriptors of an entry VM.

    Parameters
    ----------
    memory_mb : float
        Memory of the VM, in megabytes; 0 if unknown.
    max_descriptors : int
        Descriptors that the process may open; 0 if unknown.
    """
    plan = MemoryPlan()
    if max_descriptors:
        plan = _limit_connections(max_descriptors)
    if not memory_mb:
        return plan
    usable_bytes = USABLE_SHARE * memory_mb * BYTES_PER_MB - BASE_BYTES
    by_memory = int(max(0.0, CONNECTION_SHARE * usable_bytes) / CONNECTION_BYTES)
    connections = by_memory
    if plan.connections is not None:
        connections = min(plan.connections, by_memory)
    connections = max(MIN_CLIENT_CONNECTIONS, connections)
    buffers = max(MIN_BUFFER_BYTES, (1 - CONNECTION_SHARE) * usable_bytes)
    stages = min(MAX_STAGE_BYTES, int(STAGE_SHARE * buffers))
    spare_bytes = usable_bytes - connections * CONNECTION_BYTES - stages
    least = MIN_BODY_BYTES if spare_bytes >= 2 * MIN_BODY_BYTES else 0
    requests = _bound(REQUEST_SHARE * buffers, least, MAX_REQUEST_BYTES)
    responses = _bound(RESPONSE_SHARE * buffers, least, MAX_RESPONSE_BYTES)
    messages = _bound(MESSAGE_SHARE * buffers, MIN_PEER_BYTES, MAX_MESSAGE_BYTES)
    small_requests = int(SMALL_SHARE * requests)
    small_responses = int(SMALL_SHARE * responses)
    return replace(
        plan,
        request_bytes=requests - small_requests,
        response_bytes=responses - small_responses,
        stage_bytes=stages,
        small_request_bytes=small_requests,
        small_response_bytes=small_responses,
        connections=connections,
        relayed_bytes=_bound(
            RELAYED_SHARE * buffers, MIN_PEER_BYTES, MAX_RELAYED_BYTES
        ),
        message_bytes=messages,
        small_message_bytes=int(SMALL_SHARE * messages),
    )


def _bound(size: float, least: int, most: int) -> int:
    return min(most, max(least, int(size)))


def _limit_connections(max_descriptors: int) -> MemoryPlan:
    """Divide the descriptors of an entry VM."""
    operators = int(OPERATOR_DESCRIPTOR_SHARE * max_descriptors)
    lookups = int(LOOKUP_DESCRIPTOR_SHARE * max_descriptors)
    peers = int(PEER_DESCRIPTOR_SHARE * max_descriptors)
    return MemoryPlan(
        connections=int(CLIENT_DESCRIPTOR_SHARE * max_descriptors),
        peer_connections=min(MAX_PEER_CONNECTIONS, peers),
        lookup_connections=max(MIN_CONNECTIONS, lookups),
        operator_connections=max(MIN_CONNECTIONS, operators),
    )


__all__ = ("MAX_RELAYED_BYTES", "MAX_RESPONSE_BYTES", "MemoryPlan", "plan_memory")
