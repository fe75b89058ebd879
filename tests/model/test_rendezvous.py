"""All nodes choose the same owner; a membership change moves few keys."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_model.rendezvous import choose_owner

NODES = st.lists(st.text(min_size=1, max_size=5), min_size=1, unique=True)


@given(key=st.text(), nodes=NODES, random=st.randoms(use_true_random=False))
def test_owner_does_not_depend_on_the_order_of_nodes(key: str, nodes, random) -> None:
    shuffled = list(nodes)
    random.shuffle(shuffled)
    assert choose_owner(key, nodes) == choose_owner(key, shuffled)


@given(key=st.text(), nodes=NODES, removed=st.integers(0))
def test_only_keys_of_a_removed_node_change_owner(
    key: str, nodes, removed: int
) -> None:
    owner = choose_owner(key, nodes)
    remaining = [n for n in nodes if n != nodes[removed % len(nodes)]]
    if owner in remaining:
        assert choose_owner(key, remaining) == owner


def test_no_nodes_give_no_owner() -> None:
    assert choose_owner("a", []) == ""
