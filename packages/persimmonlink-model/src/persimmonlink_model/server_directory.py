"""Backend servers and entry VMs according to the VM list and the configuration."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class VmRole(StrEnum):
    """Purpose of a VM."""

    ENTRY = "entry"
    BACKEND = "backend"


class VmState(StrEnum):
    """Whether a VM is about to be removed."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Vm:
    """One VM of the platform's VM list.

    Parameters
    ----------
    vm_id : str
        Name of the VM.
    role : VmRole
        Entry VM or backend server.
    domain : str
        Failure domain.
    address : str
        HTTP address as `IP:PORT`.
    state : VmState
        Live or leaving.
    service : str
        Service of a backend server; empty for an entry VM.
    """

    vm_id: str
    role: VmRole
    domain: str
    address: str
    state: VmState = VmState.LIVE
    service: str = ""


@dataclass(frozen=True)
class VmListing:
    """VM list as returned by one read.

    Parameters
    ----------
    version : int
        Version of the list, which only increases.
    vms : tuple of Vm
        All VMs of the list.
    """

    version: int
    vms: tuple[Vm, ...]


class ServerDirectory:
    """Backend servers that accept new work, by service.

    Not thread-safe; the owner serializes access.
    """

    def __init__(self) -> None:
        self.version = 0
        self.vm_by_id: dict[str, Vm] = {}
        # An index, since components list a service's servers many times a second and a
        # scan of thousands of VMs would be too slow.
        self._servers_by_service: dict[str, list[Vm]] = {}
        self._entry_vms: list[Vm] = []
        self._listing: VmListing | None = None
        self.drained_domains: frozenset[str] = frozenset()

    def apply_listing(self, listing: VmListing) -> bool:
        """Apply a VM list; return False if it is older than the current one."""
        if listing.version < self.version:
            return False
        if listing is self._listing:
            return True
        self._listing = listing
        self.version = listing.version
        self.vm_by_id = {vm.vm_id: vm for vm in listing.vms}
        self._entry_vms = []
        self._servers_by_service = {}
        for vm in self.vm_by_id.values():
            if vm.role is VmRole.ENTRY:
                self._entry_vms.append(vm)
                continue
            self._servers_by_service.setdefault(vm.service, []).append(vm)
        return True

    def set_drained_domains(self, domains: Iterable[str]) -> None:
        """Set the failure domains that are drained."""
        self.drained_domains = frozenset(domains)

    def accepts_work(self, vm: Vm) -> bool:
        """Whether a VM is neither leaving nor in a drained domain."""
        return vm.state is VmState.LIVE and vm.domain not in self.drained_domains

    def list_servers(self, service: str) -> list[Vm]:
        """Return the servers of a service that accept new work."""
        listed = self._servers_by_service.get(service, ())
        return [vm for vm in listed if self.accepts_work(vm)]

    def list_entry_vms(self) -> list[Vm]:
        """Return the entry VMs of the list, leaving ones included."""
        return list(self._entry_vms)


__all__ = ("ServerDirectory", "Vm", "VmListing", "VmRole", "VmState")
