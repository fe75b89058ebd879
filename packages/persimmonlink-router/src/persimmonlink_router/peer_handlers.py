"""Which part of a router serves which message of its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmonlink_router.crash_messages import ReportCrashes
from persimmonlink_router.peer_messages import (
    Acknowledgement,
    MirrorPull,
    MirrorUpdate,
    RouterHeartbeat,
    SharedFacts,
    ShareFacts,
)
from persimmonlink_router.permit_messages import (
    AskPermit,
    AskPlace,
    AskTrial,
    EndPlace,
    GiveUpPlace,
    HandPlacesOver,
    PermitReply,
)
from persimmonlink_router.reach_messages import AskReach, ReachReply
from persimmonlink_router.relay_messages import RelayPart, RelayRequest
from persimmonlink_router.rollouts.rollout_messages import ReportRollout, RolloutReply
from persimmonlink_router.stage_messages import PrepareStages, ReleaseResults
from persimmonlink_router.stage_outcome import StageOutcome
from persimmonlink_router.stream_version_messages import (
    FindStreamVersion,
    FoundStreamVersion,
    RecordStreamVersions,
)

if TYPE_CHECKING:
    from persimmonlink_peers.peer_server import PeerServer
    from persimmonlink_router.cluster_membership import ClusterMembership
    from persimmonlink_router.crash_guard import CrashGuard
    from persimmonlink_router.end_confirmer import EndConfirmer
    from persimmonlink_router.request_service import RequestService
    from persimmonlink_router.rollouts.rollout_controller import RolloutController
    from persimmonlink_router.server_limiter import ServerLimiter
    from persimmonlink_router.server_places import ServerPlaces
    from persimmonlink_router.stage_coordinator_client import StageCoordinatorClient
    from persimmonlink_router.stream_version_exchange import StreamVersionExchange


def register_membership(peers: PeerServer, membership: ClusterMembership) -> None:
    """Serve heartbeats, copies of the store and facts that all nodes must know."""
    peers.register(RouterHeartbeat, RouterHeartbeat, membership.handle_heartbeat)
    peers.register(MirrorPull, MirrorUpdate, membership.mirror_exchange.handle_pull)
    peers.register(ShareFacts, SharedFacts, membership.facts.handle_share)


def register_requests(
    peers: PeerServer,
    service: RequestService,
    stages: StageCoordinatorClient,
    versions: StreamVersionExchange,
) -> None:
    """Serve requests, stages and stream versions of peers."""
    peers.register_stream(RelayRequest, RelayPart, service.handle_relayed)
    peers.register(PrepareStages, StageOutcome, stages.handle_prepare)
    peers.register(ReleaseResults, Acknowledgement, stages.handle_release)
    peers.register(RecordStreamVersions, Acknowledgement, versions.handle_record)
    peers.register(FindStreamVersion, FoundStreamVersion, versions.handle_find)


def register_rollouts(peers: PeerServer, rollouts: RolloutController) -> None:
    """Serve reports of what nodes see of rollouts."""
    peers.register(ReportRollout, RolloutReply, rollouts.handle_report)


def register_server_state(
    peers: PeerServer,
    guard: CrashGuard,
    confirmer: EndConfirmer,
    places: ServerPlaces,
    limiter: ServerLimiter,
) -> None:
    """Serve reports of servers that ended, and the permits to send to servers."""
    peers.register(ReportCrashes, Acknowledgement, guard.handle_report)
    peers.register(AskTrial, PermitReply, guard.trials.handle_ask)
    peers.register(AskReach, ReachReply, confirmer.handle_ask)
    peers.register(AskPlace, PermitReply, places.handle_ask)
    peers.register(EndPlace, Acknowledgement, places.handle_end)
    peers.register(GiveUpPlace, Acknowledgement, places.handle_give_up)
    peers.register(HandPlacesOver, Acknowledgement, places.handle_hand_over)
    peers.register(AskPermit, PermitReply, limiter.handle_ask)


__all__ = (
    "register_membership",
    "register_requests",
    "register_rollouts",
    "register_server_state",
)
