"""Orders and records of rollouts as this node knows them, and what follows."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.rollouts.rollout_phase import RolloutPhase
from persimmonlink_router.rollouts.rollout_records import RolloutOrder, RolloutRecord
from persimmonlink_router.rollouts.version_evidence import VersionEvidence
from persimmonlink_router.rollouts.version_judge import VersionJudge
from persimmonlink_router.rollouts.version_shares import VersionShare

if TYPE_CHECKING:
    from persimmonlink_router.servers import Server, ServerDirectory

DEFAULT_TRIAL_SHARE = 0.05  # Share of a trial if none is configured.


@dataclass(slots=True)
class Rollout:
    """An order, its record, and what this node has seen of it.

    Attributes
    ----------
    order : RolloutOrder
        The order.
    order_revision : int
        Revision of the store at which it was written.
    began_at : float
        Boot time of the order as far as this node knows, in seconds.
    record : RolloutRecord or None
        What was decided; None before the first decision.
    is_withdrawn : bool
        Whether the order was deleted before the rollout ended.
    is_suspended : bool
        Whether the new version gets nothing, by what a node has seen of it.
    evidence : VersionEvidence
        Outcomes that this node has seen.
    judge : VersionJudge
        Follows the outcomes that this node knows of.
    banned_versions : frozenset of str
        Versions that earlier orders were reverted from. Their servers may still run.
    shifted_at : float
        Boot time from which this node knows of the shift, in seconds; 0 before it.
    """

    order: RolloutOrder
    order_revision: int
    began_at: float
    record: RolloutRecord | None = None
    is_withdrawn: bool = False
    is_suspended: bool = False
    evidence: VersionEvidence = field(default_factory=VersionEvidence)
    judge: VersionJudge = field(default_factory=VersionJudge)
    banned_versions: frozenset[str] = frozenset()
    shifted_at: float = 0.0

    @property
    def phase(self) -> RolloutPhase | None:
        """How far it is; None before the first decision."""
        return None if self.record is None else self.record.phase

    @property
    def is_over(self) -> bool:
        """Whether nothing more is to be decided."""
        return self.record is not None and self.record.phase.is_final

    def elapsed_s(self, now: float) -> float:
        """Return the time since the order, in seconds."""
        return max(0.0, now - self.began_at)

    def raise_elapsed(self, elapsed_s: float, now: float) -> None:
        """Take an age of the order that another node knows, in seconds."""
        self.began_at = min(self.began_at, now - elapsed_s)


class RolloutBook:
    """Keeps the rollouts by service, and the shares of versions that follow.

    Parameters
    ----------
    servers : ServerDirectory
        Servers, and what the versions of services may get, which is updated here.

    Attributes
    ----------
    trial_share : float
        Share of a service's requests that the new version gets in a trial.
    """

    def __init__(self, servers: ServerDirectory) -> None:
        self._servers = servers
        self._shares = servers.version_shares
        self.trial_share = DEFAULT_TRIAL_SHARE
        self.rollout_by_service: dict[str, Rollout] = {}
        # Records that were read before the orders that they belong to.
        self._early_record_by_service: dict[str, tuple[RolloutRecord, int]] = {}

    def apply_order(
        self, service: str, order: RolloutOrder | None, revision: int, now: float
    ) -> None:
        """Apply an order, or that it was deleted."""
        known = self.rollout_by_service.get(service)
        if order is None:
            if known is not None and not known.is_over:
                known.is_withdrawn = True
                known.is_suspended = True
                self._update_share(service)
            return
        if known is not None and known.order_revision >= revision:
            return
        rollout = Rollout(order, revision, now)
        if known is not None:
            rollout.banned_versions = known.banned_versions
            _ban_reverted(rollout, known.record)
        self.rollout_by_service[service] = rollout
        logger.bind(
            service=service,
            server_version=order.version,
            period_s=order.period_s,
            revision=revision,
            error=order.error,
        ).info("rollout.ordered")
        record, record_revision = self._early_record_by_service.pop(service, (None, 0))
        if record is not None:
            _ban_reverted(rollout, record)
            self.apply_record(record, record_revision, now)
        self._update_share(service)

    def apply_record(self, record: RolloutRecord, revision: int, now: float) -> None:
        """Apply a decision that was read from the store."""
        rollout = self.rollout_by_service.get(record.service)
        if rollout is None or rollout.order_revision < record.order_revision:
            self._early_record_by_service[record.service] = (record, revision)
            if rollout is None:
                self._update_share(record.service)
            return
        if rollout.order_revision != record.order_revision:
            _ban_reverted(rollout, record)
            self._update_share(record.service)
            return
        rollout.banned_versions |= frozenset(record.banned_versions)
        before = rollout.phase
        rollout.record = record
        rollout.raise_elapsed(record.elapsed_s, now)
        if record.phase is RolloutPhase.SHIFT and not rollout.shifted_at:
            rollout.shifted_at = now
        if before is not record.phase:
            logger.bind(
                service=record.service,
                server_version=record.version,
                phase=record.phase.value,
                elapsed_s=round(record.elapsed_s, 2),
                decided_by=record.decided_by,
                code=record.code,
                reason=record.reason,
                revision=revision,
            ).info("rollout.changed")
        self._update_share(record.service)

    def suspend(self, service: str, reason: str) -> bool:
        """Send the new version of a service nothing more; return whether that is new.

        The store's record decides in the end; until it is read, no node has to wait
        for it to act on what was found.
        """
        rollout = self.rollout_by_service.get(service)
        if rollout is None or rollout.is_suspended or rollout.is_over:
            return False
        rollout.is_suspended = True
        logger.bind(
            service=service, server_version=rollout.order.version, reason=reason
        ).warning("rollout.suspended")
        self._update_share(service)
        return True

    def list_active(self) -> list[Rollout]:
        """Return the rollouts that are not over."""
        return [r for r in self.rollout_by_service.values() if not r.is_over]

    def is_moving(self, service: str) -> bool:
        """Whether a service is being moved to another version."""
        rollout = self.rollout_by_service.get(service)
        return rollout is not None and not rollout.is_over

    def is_new(self, server: Server) -> bool:
        """Whether a server has the version that its service is moved to."""
        rollout = self.rollout_by_service.get(server.service)
        return rollout is not None and (
            server.software_version == rollout.order.version
        )

    def record_answer(self, server: Server, route: str, time_s: float) -> None:
        """Record a good response that began after a time in seconds.

        The times of a server that has just started tell nothing of its version.
        """
        evidence = self._find_evidence(server)
        if evidence is None:
            return
        is_warm = self._servers.is_warm(server, boot_time())
        evidence.record_answer(
            route, time_s if is_warm else None, is_new=self.is_new(server)
        )

    def record_given_up(self, server: Server, route: str, time_s: float) -> None:
        """Record a request that was given up before its response began."""
        evidence = self._find_evidence(server)
        if evidence is not None and self._servers.is_warm(server, boot_time()):
            evidence.record_given_up(route, time_s, is_new=self.is_new(server))

    def record_failure(self, server: Server, route: str) -> None:
        """Record a request that a server failed."""
        evidence = self._find_evidence(server)
        if evidence is not None:
            evidence.record_failure(route, is_new=self.is_new(server))

    def _find_evidence(self, server: Server) -> VersionEvidence | None:
        """Return the evidence on the service of a server, None if it isn't moved."""
        rollout = self.rollout_by_service.get(server.service)
        if rollout is None or rollout.is_over:
            return None
        return rollout.evidence

    def _update_share(self, service: str) -> None:
        """Derive what the versions of a service may get."""
        rollout = self.rollout_by_service.get(service)
        if rollout is None:
            record, _ = self._early_record_by_service.get(service, (None, 0))
            if record is None:
                return
            version, order_revision = record.version, record.order_revision
            # An order that isn't known may have been deleted before its end.
            is_suspended = not record.phase.is_final
            banned_versions = frozenset(record.banned_versions)
        else:
            record = rollout.record
            version, order_revision = rollout.order.version, rollout.order_revision
            is_suspended = rollout.is_suspended and not rollout.is_over
            banned_versions = rollout.banned_versions
            if rollout.order.error and record is None:
                # An order that can't be followed changes nothing.
                return
        phase = RolloutPhase.TRIAL if record is None else record.phase
        old_versions = () if record is None else record.old_versions
        self._shares.set_share(
            service,
            VersionShare(
                version,
                order_revision,
                phase,
                self.trial_share,
                is_suspended,
                frozenset(old_versions),
                banned_versions,
            ),
        )


def _ban_reverted(rollout: Rollout, earlier: RolloutRecord | None) -> None:
    """Keep the version out that an earlier order was reverted from.

    Its servers may run for seconds, and are none of the old ones. An order that names
    the version again lets it back in.
    """
    if earlier is None:
        return
    banned = set(earlier.banned_versions)
    is_earlier = earlier.order_revision < rollout.order_revision
    if is_earlier and earlier.phase is RolloutPhase.REVERTED:
        banned.add(earlier.version)
    rollout.banned_versions = (rollout.banned_versions | banned) - {
        rollout.order.version
    }


__all__ = ("Rollout", "RolloutBook")
