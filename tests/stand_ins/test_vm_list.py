"""Delay of the VM list stand-in, and its fault of serving an older version once."""

from __future__ import annotations

import pytest
import urllib3

from persimmonlink_stand_ins.serving import RunningServer
from persimmonlink_stand_ins.vm_list import VmList


@pytest.mark.parametrize(("lag_s", "versions"), [(3600.0, [1, 1, 1]), (0.0, [2, 1, 2])])
def test_change_is_delayed_and_previous_version_is_served_once(
    lag_s: float, versions: list[int]
) -> None:
    vm_list = VmList([{"vm_id": "v1", "state": "live"}], lag_s)
    server = RunningServer(vm_list.handle, threads=2)
    fault = {"kind": "leaving", "vm_id": "v1"}
    urllib3.request("POST", f"{server.url}/fault", json=fault)
    answers = [urllib3.request("GET", f"{server.url}/v1/vms").json()]
    urllib3.request("POST", f"{server.url}/fault", json={"kind": "backwards"})
    for _ in range(2):
        answers.append(urllib3.request("GET", f"{server.url}/v1/vms").json())
    server.stop()
    assert [answer["version"] for answer in answers] == versions
    state = "leaving" if versions[-1] == 2 else "live"
    assert answers[-1]["vms"][0]["state"] == state
