"""Which versions of a service a request may go to while it is moved to another.

Whether a request is part of a trial follows from its id alone: all nodes draw the same
without a message, and the shares of all nodes together add up to that of the trial.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from persimmonlink_router.rollouts.rollout_phase import RolloutPhase

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from persimmonlink_router.servers import Server

DRAWS = 1 << 64  # Number of values that a draw may have.


@dataclass(frozen=True, slots=True)
class VersionShare:
    """What the versions of a service may get.

    Parameters
    ----------
    version : str
        Version that the service is moved to.
    order_revision : int
        Revision of the order; requests are drawn anew for each order.
    phase : RolloutPhase
        How far the rollout is.
    share : float
        Share of the requests that the new version gets in a trial.
    is_suspended : bool
        Whether the new version gets nothing for now.
    old_versions : frozenset of str
        Versions that get nothing once the rollout is complete.
    banned_versions : frozenset of str
        Versions that earlier orders were reverted from.
    """

    version: str
    order_revision: int
    phase: RolloutPhase
    share: float
    is_suspended: bool = False
    old_versions: frozenset[str] = frozenset()
    banned_versions: frozenset[str] = frozenset()

    @property
    def excluded_versions(self) -> frozenset[str]:
        """Versions whose servers get no new work."""
        if self.is_suspended or self.phase is RolloutPhase.REVERTED:
            return self.banned_versions | {self.version}
        if self.phase is RolloutPhase.COMPLETE:
            return (self.banned_versions | self.old_versions) - {self.version}
        return self.banned_versions - {self.version}

    def draws_new(self, request_id: str) -> bool:
        """Whether a request goes to the new version in a trial."""
        text = f"{self.order_revision}\0{request_id}".encode()
        return xxh3_64_intdigest(text) < self.share * DRAWS


class VersionShares:
    """What the versions of all services may get, by service.

    A service that is not being moved has no entry, and its servers no limit.
    """

    def __init__(self) -> None:
        self.share_by_service: dict[str, VersionShare] = {}
        self._calls_by_service: dict[str, _CallCounts] = {}
        # Called without arguments after each change.
        self.on_change: Callable[[], None] = lambda: None

    def set_share(self, service: str, share: VersionShare) -> None:
        """Set what the versions of a service may get."""
        if self.share_by_service.get(service) != share:
            self.share_by_service[service] = share
            self.on_change()

    def excludes(self, server: Server) -> bool:
        """Whether a server gets no new work because of its version."""
        share = self.share_by_service.get(server.service)
        return share is not None and server.software_version in share.excluded_versions

    def select(
        self,
        service: str,
        servers: list[Server],
        request_id: str,
        pinned_version: str | None,
        *,
        is_retry: bool,
    ) -> list[Server]:
        """Return those of some servers that a request may be sent to.

        In a trial, a request that is not drawn goes to old versions only, and one that
        is drawn to the new one while it has servers; retries go to old versions. After
        the trial, requests go to the new version while it has servers. A stream that
        has begun stays with its version, `pinned_version`.
        """
        share = self.share_by_service.get(service)
        if share is None or share.phase.is_final:
            return servers
        new = [s for s in servers if s.software_version == share.version]
        old = [s for s in servers if s.software_version != share.version]
        if share.phase is RolloutPhase.SHIFT or pinned_version == share.version:
            return new or old
        if is_retry or not share.draws_new(request_id):
            return old
        return new or old

    def select_for_call(self, service: str, servers: Sequence[Server]) -> list[Server]:
        """Return those of some servers that may get a call with pieces of stages.

        A call holds pieces of many requests, so that calls are counted instead.
        """
        share = self.share_by_service.get(service)
        if share is None or share.phase.is_final:
            return list(servers)
        old = [s for s in servers if s.software_version != share.version]
        new = [s for s in servers if s.software_version == share.version]
        if share.phase is RolloutPhase.SHIFT:
            return new or old
        counts = self._calls_by_service.get(service)
        if counts is None or counts.order_revision != share.order_revision:
            counts = self._calls_by_service[service] = _CallCounts(share.order_revision)
        if counts.new + 1 <= share.share * (counts.all + 1):
            return new + old
        return old

    def record_call(self, server: Server) -> None:
        """Record a call with pieces that is sent to a server."""
        share = self.share_by_service.get(server.service)
        counts = self._calls_by_service.get(server.service)
        if share is None or counts is None:
            return
        counts.all += 1
        counts.new += server.software_version == share.version


@dataclass(slots=True)
class _CallCounts:
    order_revision: int
    all: int = 0
    new: int = 0


__all__ = ("VersionShare", "VersionShares")
