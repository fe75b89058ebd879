"""Load reports of other nodes are summed and expire."""

from __future__ import annotations

from persimmonlink_router.peer_loads import PeerLoads
from persimmonlink_router.peer_messages import EngineLoad


def test_loads_of_all_nodes_are_summed():
    loads = PeerLoads(1.0)
    loads.record("a", {"s": EngineLoad(2, 100)}, 0.0)
    loads.record("b", {"s": EngineLoad(1, 50), "t": EngineLoad(9, 9)}, 0.5)
    assert loads.sum("s", 0.6) == EngineLoad(3, 150)


def test_expired_loads_do_not_count():
    loads = PeerLoads(1.0)
    loads.record("a", {"s": EngineLoad(2, 100)}, 0.0)
    assert loads.sum("s", 1.5) == EngineLoad(0, 0)
    loads.discard_expired(10.0)
    assert loads.sum("s", 0.5) == EngineLoad(0, 0)
