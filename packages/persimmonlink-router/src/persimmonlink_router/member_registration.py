"""Keeps this node registered in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.cluster_membership import MEMBER_PREFIX
from persimmonlink_router.store import LeaseExpiredError, StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_model.membership import Member
    from persimmonlink_router.store import MetadataStore
    from persimmonlink_router.store_backoff import StoreBackoff

# Interval of looking whether the store answers this node again.
CONTACT_POLL_INTERVAL_S = 0.1
LEASE_TTL_S = 4.0  # Shorter than a dead node may remain listed in the directory.
# Short enough for a second renewal before the lease expires if the first times out.
LEASE_RENEWAL_INTERVAL_S = 1.4


class MemberRegistration:
    """Keeps this node registered in the store under a lease.

    Parameters
    ----------
    store : MetadataStore
        Store that holds the entry.
    get_member : callable
        Returns the current member record of this node.
    on_registered : callable
        Called with the revision at which the entry was written.
    may_call : callable
        Returns whether the store answers this node, as its follower knows; without
        that, a call would only add to the load of the store.
    backoff : StoreBackoff
        Pauses while the store fails calls.
    """

    def __init__(
        self,
        store: MetadataStore,
        get_member: Callable[[], Member],
        on_registered: Callable[[int], None],
        may_call: Callable[[], bool],
        backoff: StoreBackoff,
    ) -> None:
        self._may_call = may_call
        self._backoff = backoff
        self._store = store
        self._get_member = get_member
        self._on_registered = on_registered
        self._lease = 0
        self._is_deregistering = False

    async def run(self) -> None:
        """Keep the entry and its lease until `deregister` is called."""
        while not self._is_deregistering:
            if not self._may_call():
                await asyncio.sleep(CONTACT_POLL_INTERVAL_S)
                continue
            started_at = boot_time()
            try:
                await self._renew()
                self._backoff.record_success()
            except (StoreUnavailableError, LeaseExpiredError) as error:
                if isinstance(error, LeaseExpiredError) and self._lease:
                    # The next call, at once, registers anew.
                    self._lease = 0
                    continue
                logger.bind(error=str(error)).debug("registration.failed")
                spent_s = boot_time() - started_at
                await asyncio.sleep(self._backoff.next_pause_s(spent_s))
                continue
            await asyncio.sleep(LEASE_RENEWAL_INTERVAL_S)

    async def deregister(self) -> None:
        """Stop renewing and revoke the lease, which deletes the entry."""
        self._is_deregistering = True
        if self._lease:
            await self._revoke(self._lease)

    async def _revoke(self, lease: int) -> None:
        """Revoke a lease, again if that fails, until it expires by itself."""
        ends_at = boot_time() + LEASE_TTL_S
        while boot_time() < ends_at:
            began_at = boot_time()
            try:
                await self._store.revoke_lease(lease)
            except LeaseExpiredError:
                return
            except StoreUnavailableError as error:
                # Heartbeats announce the leave to peers, too.
                logger.bind(error=str(error)).info("registration.removal_failed")
                spent_s = boot_time() - began_at
                await asyncio.sleep(self._backoff.next_pause_s(spent_s))
                continue
            return

    async def _renew(self) -> None:
        if self._lease:
            await self._store.renew_lease(self._lease)
            return
        lease = await self._store.grant_lease(LEASE_TTL_S)
        try:
            if not self._is_deregistering:
                await self._write(lease)
        finally:
            if self._is_deregistering:
                # The write may have been executed, also if it failed here.
                await self._revoke(lease)

    async def _write(self, lease: int) -> None:
        member = self._get_member()
        key = MEMBER_PREFIX + member.node_id
        value = msgspec.json.encode(member)
        self._on_registered(await self._store.put_with_lease(key, value, lease))
        self._lease = lease


__all__ = ("MemberRegistration",)
