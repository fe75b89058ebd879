"""Habits of clients and servers that a plan adds to the plain ones."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.planned_work.distant_stream import Distance
from tests.planned_work.sheet import PLAIN_WORK_S

if TYPE_CHECKING:
    import random

HEAD_PAUSES_S = (0.0, 0.02, 0.2, 0.7)  # Pauses inside the head of a request.
LAST_PAUSE_S = (0.1, 2.0)  # Time for which the last part of a body is late.
LARGE_BODY_BYTES = (100_000, 4_194_304)  # Up to the limit of the configuration.
DELAYS_S = (0.0, 0.015, 0.05)  # One way.
SLOW_READER = {"window_bytes": 4096, "read_bytes": 4096, "read_pause_s": 0.02}
CHUNK_PAUSES_S = (0.0, 0.01, 0.08)
LONG_RESPONSE_BYTES = 60_000
LINGERS_S = (0.0, 0.3, 1.5)
LONG_WORK_S = (0.2, 1.1)
SLOW_WORK_S = (0.5, 7.0)
SLOW_PREFIX = "/slow-booking/"


@dataclass(frozen=True)
class Habits:
    """Shares of requests, clients or connections that do something unusual.

    Parameters
    ----------
    split_head_share : float
        Requests whose head comes in parts.
    expect_share : float
        Requests with a body whose client waits until it may send it.
    closing_share : float
        Requests that are the last on their connection, as they say.
    trailer_share : float
        Bodies in chunks that end with trailers.
    large_body_share : float
        Bodies that are long, up to the limit.
    late_end_share : float
        Bodies whose last part is late.
    distant_share : float
        Clients that are far away.
    slow_reader_share : float
        Clients that read slowly, with a small window.
    long_work_share : float
        Plain requests that take a server long.
    chunked_share : float
        Plain responses in chunks with pauses.
    long_response_share : float
        Plain responses that are longer than a window.
    server_close_share : float
        Requests at whose arrival a server closes the connection.
    has_lingers : bool
        Whether servers close connections that are idle for a while.
    idle_connections : int
        Connections that clients only keep open.
    """

    split_head_share: float = 0.0
    expect_share: float = 0.0
    closing_share: float = 0.0
    trailer_share: float = 0.0
    large_body_share: float = 0.0
    late_end_share: float = 0.0
    distant_share: float = 0.0
    slow_reader_share: float = 0.0
    long_work_share: float = 0.0
    chunked_share: float = 0.0
    long_response_share: float = 0.0
    server_close_share: float = 0.0
    has_lingers: bool = False
    idle_connections: int = 0

    def draw_distance(self, rng: random.Random) -> Distance:
        """Draw how far a client is, and how it reads."""
        delay_s = rng.choice(DELAYS_S) if happens(rng, self.distant_share) else 0.0
        if happens(rng, self.slow_reader_share):
            return Distance(delay_s, **SLOW_READER)
        return Distance(delay_s)


@dataclass(frozen=True)
class Sending:
    """How a request is sent.

    `head_parts` are shares of the head with the pause after each, `body_parts` parts
    of the body with the pause before each.
    """

    head_parts: tuple[tuple[float, float], ...] = ()
    body_parts: list[tuple[bytes, float]] = field(default_factory=list)
    has_trailers: bool = False


def happens(rng: random.Random, share: float) -> bool:
    """Draw whether something with a share happens; a share of 0 draws nothing."""
    return share > 0 and rng.random() < share


def draw_head_parts(
    rng: random.Random, share: float
) -> tuple[tuple[float, float], ...]:
    """Draw where a head is cut, and the pauses there."""
    if not happens(rng, share):
        return ()
    cuts = sorted(rng.random() for _ in range(rng.randint(1, 3)))
    return tuple((cut, rng.choice(HEAD_PAUSES_S)) for cut in cuts)


def get_response_body(request_id: str, *, is_long: bool) -> bytes:
    """Return the body of a plain response, as servers send and clients expect it."""
    body = f"answer to {request_id}".encode()
    return body + b"." * (LONG_RESPONSE_BYTES if is_long else 0)


class ServerHabits:
    """Draws what a server does with each request."""

    def __init__(self, habits: Habits, rng: random.Random) -> None:
        self._habits = habits
        self._rng = rng
        self.linger_s = rng.choice(LINGERS_S) if habits.has_lingers else 0.0

    def draw_work_s(self, target: str) -> float:
        """Draw how long a plain request takes, in seconds."""
        if target.startswith(SLOW_PREFIX):
            return self._rng.uniform(*SLOW_WORK_S)
        if happens(self._rng, self._habits.long_work_share):
            return self._rng.uniform(*LONG_WORK_S)
        return PLAIN_WORK_S

    def closes_instead(self) -> bool:
        """Draw whether a connection is closed as a request arrives on it."""
        return happens(self._rng, self._habits.server_close_share)

    def draw_chunk_pauses_s(self) -> tuple[float, ...]:
        """Draw the pauses between the chunks of a response; none sends it whole."""
        if not happens(self._rng, self._habits.chunked_share):
            return ()
        return tuple(self._rng.choice(CHUNK_PAUSES_S) for _ in range(3))

    def has_long_response(self) -> bool:
        """Draw whether a response is long."""
        return happens(self._rng, self._habits.long_response_share)
