"""Reads of a VM list that is outdated, malformed or unreachable."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
from returns.result import Failure as Err

from persimmonlink_interfaces.vm_list import HttpVmListReader
from persimmonlink_model.result_code import ResultCode
from persimmonlink_node.metrics import Metrics
from persimmonlink_node.node_state import NodeState
from persimmonlink_node.settings import MetricsSettings
from persimmonlink_stand_ins.serving import Request, Response, RunningServer
from persimmonlink_stand_ins.vm_list import VmList

if TYPE_CHECKING:
    from collections.abc import Iterator

VM = {"vm_id": "e1", "role": "entry", "domain": "a", "address": "10.0.0.1:1"}


class VmListHarness:
    """VM list service whose response a test can replace, with a reader of it."""

    def __init__(self) -> None:
        self.vm_list = VmList([VM], lag_s=0.0)
        self.answer: Response | None = None
        self.server = RunningServer(self._handle, threads=4)
        self.reader = HttpVmListReader(f"127.0.0.1:{self.server.port}")
        self.metrics = Metrics(MetricsSettings(), "n1")
        self.state = NodeState(self.metrics)

    def _handle(self, call: Request) -> Response:
        return self.answer or self.vm_list.handle(call)

    def read(self) -> bool:
        """Read the list and apply it to the node state, as the daemon does."""
        read = self.reader.read()
        if isinstance(read, Err):
            assert read.failure().code is ResultCode.VM_LIST_INVALID
            return False
        return self.state.apply_listing(read.unwrap())

    def count(self, name: str) -> float:
        counters: Any = self.metrics.to_json()["counters"]
        return counters.get(name, 0)


@pytest.fixture
def harness() -> Iterator[VmListHarness]:
    created = VmListHarness()
    yield created
    created.server.stop()


def _names(harness: VmListHarness) -> list[str]:
    return sorted(vm.vm_id for vm in harness.state.list_entry_vms())


def test_older_version_is_counted_and_the_last_listing_kept(
    harness: VmListHarness,
) -> None:
    assert harness.read()
    harness.vm_list.replace([VM, {**VM, "vm_id": "e2"}])
    assert harness.read()
    harness.vm_list._inject_fault({"kind": "backwards"})
    assert not harness.read()
    assert _names(harness) == ["e1", "e2"]
    assert harness.count("vm_list_backwards") == 1


@pytest.mark.parametrize(
    "answer",
    [
        Response({"version": "x", "vms": []}),
        Response({"vms": []}),
        Response([1]),
        Response({"version": 9, "vms": [{**VM, "role": "other"}]}),
        Response({"version": 9, "vms": [{"vm_id": "e1"}]}),
        Response({"error": "outage"}, 503),
    ],
)
def test_invalid_response_keeps_the_last_listing(
    harness: VmListHarness, answer: Response
) -> None:
    assert harness.read()
    harness.answer = answer
    assert not harness.read()
    assert _names(harness) == ["e1"]
    harness.answer = None
    assert harness.read()


def test_unreachable_service_keeps_the_last_listing(harness: VmListHarness) -> None:
    assert harness.read()
    harness.server.stop()
    assert not harness.read()
    assert _names(harness) == ["e1"]


def test_unchanged_list_is_returned_from_the_cache(harness: VmListHarness) -> None:
    first = harness.reader.read().unwrap()
    assert harness.reader.read().unwrap() is first
    harness.vm_list.replace([])
    assert harness.reader.read().unwrap().vms == ()
