"""What a run of the deployment is made of: its load, and the habits of its parts."""

from __future__ import annotations

from dataclasses import dataclass, field


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
