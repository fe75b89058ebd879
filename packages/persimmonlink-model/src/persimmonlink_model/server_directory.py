"""Backend servers and entry VMs as the VM list and the configuration show them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class VmRole(StrEnum):
    """What a VM is for."""

    ENTRY = "entry"
    BACKEND = "backend"


class VmState(StrEnum):
    """Whether a VM is about to go."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Vm:
    """One VM of the platform's list.

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
    """The VM list as read once.

    Parameters
    ----------
    version : int
        Version of the list, which only grows.
    vms : tuple of Vm
        All VMs.
    """

    version: int
    vms: tuple[Vm, ...]


class ServerDirectory:
    """The backend servers that may take new work.

    Guarded by its owner; holds no lock of its own.
    """

    def __init__(self) -> None:
        self.version = 0
        self.vm_by_id: dict[str, Vm] = {}
        # Parts ask for a service's servers many times a second, so that these must
        # not be looked for among thousands of VMs.
        self._servers_by_service: dict[str, list[Vm]] = {}
        self._entry_vms: list[Vm] = []
        self._listing: VmListing | None = None
        self.drained_domains: frozenset[str] = frozenset()

    def apply_listing(self, listing: VmListing) -> bool:
        """Take a newer VM list; return False for one that goes backwards."""
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
        """Set the failure domains that are taken out."""
        self.drained_domains = frozenset(domains)

    def accepts_work(self, vm: Vm) -> bool:
        """Whether a VM is neither leaving nor in a drained domain."""
        return vm.state is VmState.LIVE and vm.domain not in self.drained_domains

    def list_servers(self, service: str) -> list[Vm]:
        """Return the servers of a service that may take new work."""
        listed = self._servers_by_service.get(service, ())
        return [vm for vm in listed if self.accepts_work(vm)]

    def list_entry_vms(self) -> list[Vm]:
        """Return the entry VMs of the list, leaving ones included."""
        return list(self._entry_vms)


__all__ = ("ServerDirectory", "Vm", "VmListing", "VmRole", "VmState")
