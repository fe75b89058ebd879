"""Binds streams that go on to the software version that began them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmonlink_router.request_state import RequestRefusedError

if TYPE_CHECKING:
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.request_state import RequestState
    from persimmonlink_router.servers import Server
    from persimmonlink_router.stream_version_exchange import StreamVersionExchange

# Retry-After if no server may continue a stream, or no node knows which ones may.
NO_VERSION_RETRY_AFTER_S = 0.5


class VersionPinning:
    """Records where streams begin, and where they may go on.

    Parameters
    ----------
    cluster_view : ClusterView
        Known servers and their software versions.
    stream_versions : StreamVersionExchange
        Records and finds the software versions at which streams began.
    """

    def __init__(
        self, cluster_view: ClusterView, stream_versions: StreamVersionExchange
    ) -> None:
        self._cluster_view = cluster_view
        self._stream_versions = stream_versions

    def record_send(self, state: RequestState, server: Server) -> None:
        """Record the server to which a request is sent that may begin a stream."""
        if state.may_begin_stream and state.stream_version is None:
            self._stream_versions.record_send(state.metadata.request_id, server)

    async def pin_resumed(self, state: RequestState) -> None:
        """Bind a stream that a client takes up to the version at which it began.

        Raises `RequestRefusedError` if no node knows that version.
        """
        metadata = state.metadata
        if not metadata.last_event_id or state.stream_version is not None:
            return
        found = await self._stream_versions.find(
            metadata.resumed_request_id, state.service
        )
        state.stream_version = found.version
        state.version_source = found.source
        state.version_answered_by = found.answered_by
        if state.stream_version is None:
            raise RequestRefusedError(
                "the software version that began the stream is unknown",
                NO_VERSION_RETRY_AFTER_S,
            )
        self._choose_service_of_version(state)

    def _choose_service_of_version(self, state: RequestState) -> None:
        """Send a stream to the service of its route that has servers of its version.

        One of a route with several services may have begun at any of them.
        """
        targets = [t.service for t in state.route.targets if t.weight > 0]
        for service in (state.service, *targets):
            servers = self._cluster_view.servers.list_usable(service)
            if any(state.allows_server(server) for server in servers):
                state.service = service
                return

    def leave_to_others(self, state: RequestState) -> None:
        """Forget the version of a stream that has not begun here."""
        if state.may_begin_stream and state.stream_version is None:
            self._stream_versions.forget(state.metadata.request_id)

    async def require_server(self, state: RequestState) -> None:
        """Raise `RequestRefusedError` if no server can continue a stream."""
        if state.stream_version is None:
            return
        await self._stream_versions.confirm_servers()
        request_id = state.metadata.request_id
        if state.may_begin_stream and self._stream_versions.is_uncertain(request_id):
            raise RequestRefusedError(
                "the software version that began the stream is uncertain",
                NO_VERSION_RETRY_AFTER_S,
            )
        for server in self._cluster_view.servers.list_usable(state.service):
            if state.allows_server(server):
                return
        raise RequestRefusedError(
            f"no server of software version {state.stream_version} serves the stream",
            NO_VERSION_RETRY_AFTER_S,
        )


__all__ = ("VersionPinning",)
