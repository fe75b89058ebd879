"""What a check of a run has found."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Finding:
    """A case of a broken rule, or of something that is listed beside the rules."""

    rule: str
    text: str
