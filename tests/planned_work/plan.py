"""What a run of the deployment is made of: its load, and the habits of its parts."""

from __future__ import annotations

from dataclasses import dataclass, field

from tests.planned_work.habits import Habits


@dataclass(frozen=True)
class Plan:
    """The mix of a run.

    Parameters
    ----------
    name : str
        Name of the folder of a run that is kept, with its seed.
    rate_factor_by_class : dict
        Factor of the sheet's rate, by the name of the kind of request; 1 if missing.
    client_factor : int
        Factor of the number of clients, which share the load.
    fresh_share : float
        Share of requests that open a connection although an idle one is there.
    keeps_connections : bool
        Whether clients use open connections to nodes that no directory names.
    leaving_share : float
        Share of requests whose client leaves early.
    stale_share : float
        Share of the clients that use a directory answer for three times its time.
    body_pauses_s : tuple
        Pauses between the parts of a body, of which one is drawn, in seconds.
    unframed_share : float
        Share of the servers whose responses end with their connection.
    has_dense_stops : bool
        Whether the other work comes just before and during stops.
    node_factor : int
        Factor of the number of nodes.
    habits : Habits
        Unusual habits of clients and servers.
    has_crowded_stops : bool
        Whether stops come at once, right after starts, with other limits of clients,
        and while the store fails.
    log_reader_pause_s : float
        Longest pause of the reader of a node's log; 0 for a log in a file.
    boot_age_s : float
        Time since the boot that nodes see at their start; 0 for the true one.
    cpu_share : float
        Share of a core that each node gets as a quota; 0 for no bound.
    store_delay_s : float
        Time by which each answer of the store is late, also without trouble.
    """

    name: str
    rate_factor_by_class: dict[str, float] = field(default_factory=dict)
    client_factor: int = 1
    fresh_share: float = 0.0
    keeps_connections: bool = False
    leaving_share: float = 0.0
    stale_share: float = 0.33
    body_pauses_s: tuple[float, ...] = (0.01, 0.05, 0.2)
    unframed_share: float = 0.25
    has_dense_stops: bool = False
    node_factor: int = 1
    habits: Habits = field(default_factory=Habits)
    has_crowded_stops: bool = False
    log_reader_pause_s: float = 0.0
    boot_age_s: float = 0.0
    cpu_share: float = 0.0
    store_delay_s: float = 0.0


MIXED = Plan("mixed")
BOOKINGS = Plan(
    "bookings",
    rate_factor_by_class={
        "booking-commit": 5.0,
        "stock-check": 1.5,
        "packing-list": 0.5,
        "kit-tag": 0.4,
    },
    client_factor=4,
    fresh_share=0.25,
    keeps_connections=True,
    leaving_share=0.03,
    stale_share=0.7,
    body_pauses_s=(0.01, 0.05, 0.2, 0.45),
    unframed_share=0.3,
    has_dense_stops=True,
)
HABITS = Plan(
    "habits",
    rate_factor_by_class={
        "booking-commit": 4.0,
        "slow-booking": 1.0,
        "stock-check": 1.5,
        "packing-list": 0.4,
        "kit-tag": 0.3,
        "damage-claim": 0.7,
    },
    client_factor=3,
    fresh_share=0.2,
    keeps_connections=True,
    leaving_share=0.02,
    stale_share=0.7,
    body_pauses_s=(0.005, 0.05, 0.2, 0.45),
    unframed_share=0.0,
    has_dense_stops=True,
    habits=Habits(
        split_head_share=0.25,
        expect_share=0.15,
        closing_share=0.06,
        trailer_share=0.3,
        large_body_share=0.01,
        late_end_share=0.2,
        distant_share=0.7,
        slow_reader_share=0.15,
        long_work_share=0.15,
        chunked_share=0.3,
        long_response_share=0.1,
        server_close_share=0.01,
        has_lingers=True,
        idle_connections=200,
    ),
    has_crowded_stops=True,
    log_reader_pause_s=1.5,
    boot_age_s=12.0,
)
