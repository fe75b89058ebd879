"""Choice of the node that coordinates each pool."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_model.rendezvous import choose_owner

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmonlink_model.membership import Member
    from persimmonlink_model.server_directory import Vm


@dataclass(frozen=True, order=True)
class PoolKey:
    """Identity of a pool.

    Parameters
    ----------
    service : str
        Service of its servers.
    domain : str
        Failure domain of its servers.
    """

    service: str
    domain: str

    @property
    def salt(self) -> int:
        """Checksum of the key, which differs between pools."""
        return zlib.crc32(f"{self.service}/{self.domain}".encode())


def choose_coordinator(key: PoolKey, active_members: Iterable[Member]) -> str:
    """Return the node that coordinates a pool, or an empty string.

    Nodes in the pool's own failure domain are preferred, so that the partition or loss
    of one domain does not affect the coordinators of others.
    """
    members = list(active_members)
    in_domain = [member.node_id for member in members if member.domain == key.domain]
    candidates = in_domain or [member.node_id for member in members]
    return choose_owner(f"pool/{key.service}/{key.domain}", candidates)


def choose_coordinators(
    keys: Iterable[PoolKey], active_members: Iterable[Member]
) -> dict[PoolKey, str]:
    """Return the coordinator of each pool that has one."""
    members = list(active_members)
    coordinator_by_pool = {}
    for key in keys:
        coordinator = choose_coordinator(key, members)
        if coordinator:
            coordinator_by_pool[key] = coordinator
    return coordinator_by_pool


def group_by_pool(servers: Iterable[Vm]) -> dict[PoolKey, list[str]]:
    """Return the names of the servers of each pool."""
    server_ids_by_pool: dict[PoolKey, list[str]] = {}
    for vm in servers:
        key = PoolKey(vm.service, vm.domain)
        server_ids_by_pool.setdefault(key, []).append(vm.vm_id)
    return server_ids_by_pool


__all__ = ("PoolKey", "choose_coordinator", "choose_coordinators", "group_by_pool")
