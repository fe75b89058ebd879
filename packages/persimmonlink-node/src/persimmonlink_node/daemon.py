"""Builds a node from its settings, and starts and stops it."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_interfaces.engine_client import EngineClient
from persimmonlink_interfaces.plain_client import PlainClient
from persimmonlink_model.kept_results import KeptResults
from persimmonlink_model.record import ServiceKind
from persimmonlink_model.request_id import RetryHorizon
from persimmonlink_model.running_limit import RunningLimit
from persimmonlink_node.answer_fetcher import AnswerFetcher
from persimmonlink_node.answer_server import AnswerServer
from persimmonlink_node.call_statistics import CallStatistics
from persimmonlink_node.caller_api import CallerApi
from persimmonlink_node.cold_server_detector import ColdServerDetector
from persimmonlink_node.control_path import ControlPath
from persimmonlink_node.coordinated_granter import CoordinatedSlotGranter
from persimmonlink_node.deadline_policy import (
    DeadlinePolicy,
    PatientPolicy,
    PredictivePolicy,
)
from persimmonlink_node.graceful_stop import GracefulStop
from persimmonlink_node.http_server import Application, HttpDrainControl, build_server
from persimmonlink_node.kept_result_transfer import transfer_kept_results
from persimmonlink_node.latency_tracker import LatencyTracker
from persimmonlink_node.operator_api import OperatorApi
from persimmonlink_node.pipeline_request import RequestValidator
from persimmonlink_node.pipeline_runner import PipelineRunner
from persimmonlink_node.record_writer import RecordWriter
from persimmonlink_node.reported_load import ReportedLoadGranter, ReportedLoads
from persimmonlink_node.request_claimer import KeyPerClaimClaimer
from persimmonlink_node.request_service import RequestService
from persimmonlink_node.request_trace import TraceStore
from persimmonlink_node.service_dispatchers import ServiceDispatchers
from persimmonlink_node.settings import AdmissionName, ClaimMode, GranterName
from persimmonlink_node.shard_claimer import ShardClaimer
from persimmonlink_node.slot_granter import SlotGranter, StaticSlotGranter
from persimmonlink_node.stage_caller import StageCaller
from persimmonlink_node.stage_runner import StageRunner
from persimmonlink_node.status import StatusReporter

if TYPE_CHECKING:
    from persimmonlink_node.request_claimer import RequestClaimer
    from persimmonlink_node.settings import Settings

DRAIN_POLL_INTERVAL_S = 0.05


class Daemon:
    """A node with its control path, request path and HTTP interface.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._control = ControlPath(settings)
        self.identity = self._control.identity
        self._latencies = LatencyTracker(self._control.clock)
        self._loads = ReportedLoads()
        self._dispatchers = ServiceDispatchers(
            settings.policy,
            self._control.clock,
            self._is_in_own_domain,
            self._latencies,
            self._loads,
        )
        self._granter = self._create_granter()
        self._cold_server_detector = ColdServerDetector(
            CallStatistics(settings.limits.retry_budget), self._granter
        )
        self._traces = TraceStore()
        self._fetcher = AnswerFetcher(
            self._control.members, self._control.links, self._control.clock
        )
        self._service = self._create_request_service()
        self._validator = RequestValidator(
            self._control.state,
            self.identity,
            self._horizon,
            self._control.clock,
            self._service.is_registered,
        )
        AnswerServer(
            self.identity,
            self._service,
            self._validator,
            self._control.peer_server,
            self._control.clock,
            settings.limits.request_threads,
        )
        self._control.members.set_load_source(self._service.compute_load)
        self._application = self._create_application()
        self._http = build_server(
            settings.listen.address,
            settings.listen.http_port,
            self._application,
            settings.limits.request_threads,
            lambda: self._control.metrics.count("connection_shed"),
        )
        self._graceful_stop = GracefulStop(
            self.identity,
            self._control.members,
            self._control.links,
            self._control.entry_discovery,
            HttpDrainControl(self._application, self._http),
            self._control.clock,
        )
        self._graceful_stop.state_transfers.append(self._transfer_kept_results)

    def start(self) -> None:
        """Start all components, the HTTP interface last."""
        self._control.start()
        self._granter.start(self._control.timers, self._cold_server_detector)
        self._http.prepare()
        threading.Thread(target=self._http.serve, name="http", daemon=True).start()
        logger.info(
            "serving on {} as incarnation {}",
            self.identity.http_address,
            self.identity.incarnation,
        )

    def stop(self) -> None:
        """Leave the cluster, drain requests, transfer kept results, then close."""
        logger.info("stopping; {} requests running", self._service.count_running())
        self._graceful_stop.run()
        self._http.stop()
        self._control.stop()
        logger.info("stopped")

    def _transfer_kept_results(self) -> None:
        # The graceful stop drains the callers' exchanges; requests that peers
        # forwarded are not among them.
        pause = threading.Event()
        while self._service.count_running():
            pause.wait(DRAIN_POLL_INTERVAL_S)
        count = transfer_kept_results(
            self._service, self._control.members, self._control.links
        )
        logger.info("transferred {} kept results to peers", count)

    def _create_granter(self) -> SlotGranter:
        settings = self.settings
        name = settings.policy.granter
        if name is GranterName.STATIC:
            return StaticSlotGranter(self._control.state, self._dispatchers)
        if name is not GranterName.COORDINATED:
            return ReportedLoadGranter(
                self._control.state,
                self._dispatchers,
                self._loads,
                settings.grants.poll_interval_s,
            )
        return CoordinatedSlotGranter(
            self.identity,
            self._control.state,
            self._control.members,
            self._dispatchers,
            self._control.links,
            self._control.peer_server,
            self._control.loop,
            settings.grants,
            self._control.clock,
            self._control.freshness,
        )

    def _create_request_service(self) -> RequestService:
        limits = self.settings.limits
        deadlines = self._create_deadline_policy()
        caller = StageCaller(
            self._control.state,
            self._dispatchers,
            {ServiceKind.ENGINE: EngineClient(), ServiceKind.PLAIN: PlainClient()},
            deadlines,
            self._latencies,
            self._cold_server_detector,
            self._control.metrics,
            self._traces,
            self._control.clock,
        )
        runner = StageRunner(
            self._control.state,
            self._dispatchers,
            caller,
            deadlines,
            self._cold_server_detector,
            self._control.clock,
        )
        pipelines = PipelineRunner(
            self.identity,
            runner,
            self._create_claimer(),
            self._fetcher,
            self._control.metrics,
            self._traces,
            self._control.clock,
        )
        return RequestService(
            self.identity,
            pipelines,
            self._fetcher,
            KeptResults(self._horizon.retention_s, limits.kept_result_bytes),
            self._horizon,
            self._control.metrics,
            self._traces,
            self._control.clock,
            RunningLimit(limits.request_threads),
            self._control.state.compute_mean_weight,
        )

    def _create_deadline_policy(self) -> DeadlinePolicy:
        if self.settings.policy.admission is AdmissionName.PATIENT:
            return PatientPolicy()
        return PredictivePolicy(self._control.clock)

    def _is_in_own_domain(self, server_id: str) -> bool:
        vm = self._control.state.find_vm(server_id)
        return vm is not None and vm.domain == self.identity.domain

    def _create_claimer(self) -> RequestClaimer:
        if self.settings.claims.mode is ClaimMode.KEY_PER_CLAIM:
            return KeyPerClaimClaimer(self._control.store, self.identity)
        return ShardClaimer(
            self.settings.claims,
            self._control.store,
            self.identity,
            self._control.members,
            self._control.links,
            self._control.peer_server,
            self._horizon,
            self._control.metrics,
            self._control.clock,
        )

    def _create_application(self) -> Application:
        callers = CallerApi(
            self._validator,
            self._service,
            self._control.entry_discovery,
            self.settings.limits,
            self._control.clock,
        )
        status = StatusReporter(
            self.identity,
            self._control.state,
            self._control.members,
            self._dispatchers,
            self._service,
            self._control.metrics,
            self._control.watcher,
            self._control.freshness,
            self._granter,
        )
        writer = RecordWriter(
            self._control.store, self._control.state, self._control.clock
        )
        operators = OperatorApi(self._control.state, writer, self._traces, status)
        return Application(callers, operators)

    @property
    def _horizon(self) -> RetryHorizon:
        limits = self.settings.limits
        return RetryHorizon(limits.retry_horizon_s, limits.clock_skew_s)


__all__ = ("Daemon",)
