"""Compares rules that tell which prompt parts end servers, on simulated traffic.

Requests hold three shared parts. Some hold one that ends its server, and servers also
end for other reasons, some of them several at once. A server that ends interrupts the
requests that had just begun there. Each rule sees the same requests and says when it
would hold a part back.

    python -m persimmonlink_bench.prompt_evidence_trial
"""

from __future__ import annotations

import argparse
import random
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from persimmonlink_router.crash_evidence import CrashEvidence, ServerEnd

if TYPE_CHECKING:
    from collections.abc import Callable

SERVERS = 18
REQUESTS_PER_S = 45.0
DURATION_S = 120.0
FATAL_SHARE = 0.02  # Share of the requests with the part that ends servers.
OTHER_ENDS_PER_S = 0.1  # Moments at which servers end for other reasons.
MAX_ENDS_AT_ONCE = 6
BEGUN_S = 0.3  # Time for which a request may be the cause of an end.
# Number of different parts at each place of a prompt, as on the users' sheets.
PARTS_BY_PLACE = (3, 97, 613)
FATAL_PART = "fatal"


class Rule(Protocol):
    """Accuses parts by ends of servers and by responses."""

    def record_end(self, server: str, parts: frozenset[str], now: float) -> None:
        """Record that a server ended under a request."""
        ...

    def record_served(self, parts: frozenset[str], now: float) -> None:
        """Record a complete response."""
        ...

    def list_accused(self, now: float) -> set[frozenset[str]]:
        """Return the sets of parts that are to be held back."""
        ...


class CountRule:
    """Accuses a part under which a number of servers ended within a window."""

    def __init__(self, ends: int, window_s: float = 30.0) -> None:
        self._ends = ends
        self._window_s = window_s
        self._ended_at_by_part: dict[str, dict[str, float]] = defaultdict(dict)

    def record_end(self, server: str, parts: frozenset[str], now: float) -> None:
        """Record that a server ended under a request."""
        for part in parts:
            self._ended_at_by_part[part][server] = now

    def record_served(self, parts: frozenset[str], now: float) -> None:
        """Responses don't matter."""

    def list_accused(self, now: float) -> set[frozenset[str]]:
        """Return the sets of parts that are to be held back."""
        return {
            frozenset([part])
            for part in self._ended_at_by_part
            if self.count_ends(part, now) >= self._ends
        }

    def count_ends(self, part: str, now: float) -> int:
        """Return the number of servers that ended lately."""
        ended_at = self._ended_at_by_part[part].values()
        return sum(1 for at in ended_at if now - at < self._window_s)


class ShareRule(CountRule):
    """Accuses such a part if servers ended under a share of its requests."""

    def __init__(self, ends: int, share: float, window_s: float = 30.0) -> None:
        super().__init__(ends, window_s)
        self._share = share
        self._served_at_by_part: dict[str, list[float]] = defaultdict(list)

    def record_served(self, parts: frozenset[str], now: float) -> None:
        """Record a complete response."""
        for part in parts:
            self._served_at_by_part[part].append(now)

    def list_accused(self, now: float) -> set[frozenset[str]]:
        """Return the sets of parts that are to be held back."""
        accused = set()
        for parts in super().list_accused(now):
            (part,) = parts
            ends = self.count_ends(part, now)
            served = sum(
                1 for at in self._served_at_by_part[part] if now - at < self._window_s
            )
            if ends >= self._share * (ends + served):
                accused.add(parts)
        return accused


class SinceServedRule:
    """The router's own: ends since a part was last served."""

    def __init__(self) -> None:
        self._evidence = CrashEvidence()

    def record_end(self, server: str, parts: frozenset[str], now: float) -> None:
        """Record that a server ended under a request."""
        self._evidence.record_end(ServerEnd(server, parts, now), now)

    def record_served(self, parts: frozenset[str], now: float) -> None:
        """Record a complete response."""
        for part in parts:
            self._evidence.record_served(part, now)

    def list_accused(self, now: float) -> set[frozenset[str]]:
        """Return the sets of parts that are to be held back."""
        return {verdict.cause_ids for verdict in self._evidence.judge(now)}


@dataclass(frozen=True)
class Outcome:
    """What a rule did in one run.

    Parameters
    ----------
    fatal_ends : int
        Servers that ended under requests with the fatal part.
    held_sound : int
        Sound requests that were held back.
    wrong_parts : int
        Sets of parts without the fatal one that were accused.
    """

    fatal_ends: int
    held_sound: int
    wrong_parts: int


class Simulation:
    """Traffic that is played against a rule.

    Parameters
    ----------
    rule : Rule
        Rule that sees ends and responses.
    seed : int
        Seed of the traffic, the same for all rules.
    """

    def __init__(self, rule: Rule, seed: int) -> None:
        self._rule = rule
        self._rng = random.Random(seed)
        self._begun_by_server: dict[int, list[tuple[float, frozenset[str]]]] = {
            server: [] for server in range(SERVERS)
        }
        self._incarnations = [0] * SERVERS
        self._now = 0.0

    def run(self) -> Outcome:
        """Play the traffic."""
        accused: set[frozenset[str]] = set()
        fatal_ends = held_sound = 0
        next_end_at = self._rng.expovariate(OTHER_ENDS_PER_S)
        while self._now < DURATION_S:
            self._now += self._rng.expovariate(REQUESTS_PER_S)
            if self._now > next_end_at:
                next_end_at = self._now + self._rng.expovariate(OTHER_ENDS_PER_S)
                self._end_several()
            self._serve_begun()
            is_fatal, parts = self._draw_request()
            server = self._rng.randrange(SERVERS)
            accused |= self._rule.list_accused(self._now)
            if any(held <= parts for held in accused):
                held_sound += not is_fatal
                continue
            self._begun_by_server[server].append((self._now, parts))
            if is_fatal:
                fatal_ends += 1
                self._end(server)
        wrong = sum(1 for held in accused if FATAL_PART not in held)
        return Outcome(fatal_ends, held_sound, wrong)

    def _draw_request(self) -> tuple[bool, frozenset[str]]:
        names = [
            f"{place}.{int(count * self._rng.random() ** 1.5)}"
            for place, count in enumerate(PARTS_BY_PLACE)
        ]
        is_fatal = self._rng.random() < FATAL_SHARE
        if is_fatal:
            names[self._rng.randrange(1, 3)] = FATAL_PART
        return is_fatal, frozenset(names)

    def _end_several(self) -> None:
        count = self._rng.randint(1, MAX_ENDS_AT_ONCE)
        for server in self._rng.sample(range(SERVERS), count):
            self._end(server)

    def _end(self, server: int) -> None:
        name = f"{server}/{self._incarnations[server]}"
        for _, parts in self._begun_by_server[server]:
            self._rule.record_end(name, parts, self._now)
        self._begun_by_server[server] = []
        self._incarnations[server] += 1

    def _serve_begun(self) -> None:
        for server, begun in self._begun_by_server.items():
            ends_before = self._now - BEGUN_S
            for begun_at, parts in begun:
                if begun_at <= ends_before:
                    self._rule.record_served(parts, self._now)
            self._begun_by_server[server] = [b for b in begun if b[0] > ends_before]


def main() -> None:
    """Print a table of the rules."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=20)
    runs = parser.parse_args().runs
    rules: dict[str, Callable[[], Rule]] = {
        "4 ends in 30 s": lambda: CountRule(4),
        "4 ends in 30 s, half of the part's requests": lambda: ShareRule(4, 0.5),
        "4 ends in 30 s, a tenth of its requests": lambda: ShareRule(4, 0.1),
        "4 ends since it was served": SinceServedRule,
    }
    print(
        "| rule | ends until held, mean (most) | parts accused wrongly a run | "
        "sound requests held, of all |"
    )
    print("| --- | --- | --- | --- |")
    for name, create in rules.items():
        outcomes = [Simulation(create(), seed).run() for seed in range(runs)]
        ends = [o.fatal_ends for o in outcomes]
        wrong = sum(o.wrong_parts for o in outcomes) / runs
        held = sum(o.held_sound for o in outcomes) / runs
        share = held / (REQUESTS_PER_S * DURATION_S)
        print(
            f"| {name} | {sum(ends) / runs:.1f} ({max(ends)}) | {wrong:.2f} | "
            f"{100 * share:.1f} % |"
        )


if __name__ == "__main__":
    main()
