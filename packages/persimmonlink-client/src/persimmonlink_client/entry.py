"""Discovery of entry VMs, cached for the TTL of the response."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import quote

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonlink_client.messages import EntryAnswer
from persimmonlink_model.result_code import Failure, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from persimmonlink_client.transport import HttpTransport

ENTRY_TIMEOUT_S = 1.0
ENTRY_PATH = "/v1/entry"


@dataclass(frozen=True)
class EntryChoice:
    """The entry VMs to use, in order of preference.

    Parameters
    ----------
    addresses : tuple of str
        `IP:PORT` of each entry VM, the preferred first.
    id_prefix : str
        Prefix of request ids that are pinned to `pinned_address`; empty if that VM
        accepts no new callers.
    pinned_address : str
        Entry VM that sent the prefix.
    expires_at : float
        Monotonic time until which the choice is valid, in seconds.
    """

    addresses: tuple[str, ...]
    id_prefix: str
    pinned_address: str
    expires_at: float


class EntryDirectory:
    """Queries entry VMs for the entry VMs to use, and caches the response.

    Parameters
    ----------
    addresses : sequence of str
        `IP:PORT` of the entry VMs to query while no response is cached, and if none
        of the cached ones answers.
    domain : str
        Failure domain of the caller, empty if it has none.
    transport : HttpTransport
        Transport for the queries.
    clock : callable
        Returns the monotonic time, in seconds.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        domain: str,
        transport: HttpTransport,
        clock: Callable[[], float],
    ) -> None:
        self._seeds = tuple(addresses)
        self._domain = domain
        self._transport = transport
        self._clock = clock
        self._lock = threading.Lock()
        self._cached: EntryChoice | None = None

    def choose(self, avoid: str = "") -> Result[EntryChoice, Failure]:
        """Return the entry VMs to use, from the cache while it is valid.

        The entry VMs are queried again if the cached response expired or came from the
        VM to avoid, so that new ids are pinned to another VM if one answers.

        Parameters
        ----------
        avoid : str
            Address that just refused or failed; it is queried and used last.

        Returns
        -------
        Result
            The choice, or `PEER_UNREACHABLE` if no entry VM answers.
        """
        with self._lock:
            cached = self._cached
        is_fresh = cached is not None and self._clock() < cached.expires_at
        if cached is not None and is_fresh and avoid != cached.pinned_address:
            return Success(_move_last(cached, avoid))
        candidates = (*(cached.addresses if cached else ()), *self._seeds)
        last_failure = Failure(ResultCode.PEER_UNREACHABLE, "no entry VM is known")
        for address in _deduplicate(candidates, avoid):
            fetched = self._fetch(address)
            if not isinstance(fetched, Success):
                last_failure = fetched.failure()
                continue
            with self._lock:
                self._cached = fetched.unwrap()
            return Success(_move_last(fetched.unwrap(), avoid))
        if cached is not None:
            # An expired list is better than none: its VMs may still accept requests.
            return Success(_move_last(cached, avoid))
        return Failed(Failure(ResultCode.PEER_UNREACHABLE, last_failure.detail))

    def _fetch(self, address: str) -> Result[EntryChoice, Failure]:
        """Query one entry VM."""
        # The TTL starts when the entry VM answers, so counting it from the arrival of
        # the answer would make it too long.
        requested_at = self._clock()
        path = ENTRY_PATH
        if self._domain:
            path = f"{ENTRY_PATH}?domain={quote(self._domain, safe='')}"
        reply = self._transport.exchange("GET", address, path, ENTRY_TIMEOUT_S)
        answer = reply.bind(lambda each: each.decode(EntryAnswer))
        return answer.map(lambda each: self._to_choice(address, each, requested_at))

    def _to_choice(
        self, address: str, answer: EntryAnswer, requested_at: float
    ) -> EntryChoice:
        """Put the VMs of the caller's domain first and keep the order otherwise."""
        ordered = sorted(answer.addresses, key=lambda each: each.domain != self._domain)
        return EntryChoice(
            addresses=tuple(each.address for each in ordered) or (address,),
            id_prefix=answer.id_prefix,
            pinned_address=address,
            expires_at=requested_at + answer.ttl_s,
        )


def _move_last(choice: EntryChoice, avoid: str) -> EntryChoice:
    """Return the choice with the address to avoid moved to the end."""
    return EntryChoice(
        _deduplicate(choice.addresses, avoid),
        choice.id_prefix,
        choice.pinned_address,
        choice.expires_at,
    )


def _deduplicate(addresses: Sequence[str], avoid: str) -> tuple[str, ...]:
    """Return each address once, the one to avoid last."""
    return tuple(sorted(dict.fromkeys(addresses), key=lambda each: each == avoid))


__all__ = ("EntryChoice", "EntryDirectory")
