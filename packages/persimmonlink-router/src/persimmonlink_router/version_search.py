"""What members tell of the version at which a stream began."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from persimmonlink_router.stream_version_messages import FindStreamVersion
from persimmonlink_router.stream_versions import FoundVersion

if TYPE_CHECKING:
    from persimmonlink_router.stream_versions import VersionSource


@dataclass
class VersionSearch:
    """What members have told of a stream.

    Parameters
    ----------
    message : FindStreamVersion
        Question to the members.
    asked_ids : list of str
        Members that were asked.
    answered_ids : list of str
        Members that answered.
    recent_versions : set of str
        Versions of the service that they have seen lately.
    version : str or None
        Version at which the stream began, if one knew it.
    """

    message: FindStreamVersion
    asked_ids: list[str] = field(default_factory=list)
    answered_ids: list[str] = field(default_factory=list)
    recent_versions: set[str] = field(default_factory=set)
    version: str | None = None

    def build_result(self, source: VersionSource) -> FoundVersion:
        """Return the result of the search."""
        return FoundVersion(self.version, source, tuple(self.answered_ids))


__all__ = ("VersionSearch",)
