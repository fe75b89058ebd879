"""Choice of the members that keep what all nodes must be able to find."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmonlink_model.rendezvous import rank_members

if TYPE_CHECKING:
    from collections.abc import Sequence

    from persimmonlink_model.membership import Member

# Key of the rendezvous hashing that ranks members. It keeps its first name, so that
# nodes of older builds choose the same members.
KEEPER_KEY = "stream-versions"


def choose_keepers(
    members: Sequence[Member], per_domain: int, at_least: int = 0
) -> list[Member]:
    """Return the first members of each failure domain, in an order all nodes share.

    Parameters
    ----------
    members : sequence of Member
        Members to choose from.
    per_domain : int
        Members of each failure domain.
    at_least : int
        Members in all; where the domains have fewer, the next ones follow.
    """
    chosen: list[Member] = []
    others: list[Member] = []
    count_by_domain: dict[str, int] = {}
    for member in rank_members(members, KEEPER_KEY):
        count = count_by_domain.get(member.domain, 0)
        if count >= per_domain:
            others.append(member)
            continue
        count_by_domain[member.domain] = count + 1
        chosen.append(member)
    missing = max(0, at_least - len(chosen))
    return chosen + others[:missing]


__all__ = ("choose_keepers",)
