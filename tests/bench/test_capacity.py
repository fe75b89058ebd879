"""Linear fits, the figures of the capacity page and the byte counters of sockets."""

from __future__ import annotations

import json
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_bench.capacity_page import BEGIN_MARKER, END_MARKER, run
from persimmonlink_bench.capacity_requests import derive_costs
from persimmonlink_bench.capacity_table import Table
from persimmonlink_bench.counted_node import CountingSocket
from persimmonlink_bench.process import find_free_ports


@given(st.floats(-5, 5), st.floats(-100, 100))
def test_fit_finds_a_straight_line(slope, intercept) -> None:
    table = Table("test", "about", "nodes", "command")
    table.rows = [{"nodes": n, "value": slope * n + intercept} for n in (2, 4, 8)]
    found = table.fit("value")
    assert found == (pytest.approx(slope, abs=1e-6), pytest.approx(intercept, abs=1e-6))


def test_costs_are_differences_between_pipelines() -> None:
    shapes = {(1, 0): 3.0, (3, 0): 5.0, (1, 16): 6.0, (1, 128): 17.2}
    rows = [
        {"stages": stages, "tokens": tokens, "cpu_ms_per_request": cpu}
        for (stages, tokens), cpu in shapes.items()
    ]
    costs = derive_costs(rows)
    assert costs["cpu_ms_a_plain_stage"] == pytest.approx(1.0)
    assert costs["cpu_ms_a_request_without_stages"] == pytest.approx(2.0)
    assert costs["cpu_ms_a_token"] == pytest.approx(0.1)
    # 2 ms for the request, 3 ms for three plain stages, 4 ms for the engine's stage.
    four_stages_ms = costs["cpu_ms_a_request_of_four_stages_and_16_tokens"]
    assert four_stages_ms == pytest.approx(9.0)


def test_page_lists_tables_that_were_not_run(tmp_path) -> None:
    rows = [
        {"servers": n, "vm_list_bytes_per_s": 500.0, "vm_list_read_bytes": 100 * n}
        | {"servers_bytes_per_s": 50 * n, "cpu_percent_mean": 0.1 * n}
        for n in (10, 20)
    ]
    (tmp_path / "control-servers.json").write_text(json.dumps({"rows": rows}))
    page = tmp_path / "page.md"
    page.write_text(f"before\n{BEGIN_MARKER}\nold\n{END_MARKER}\nafter\n")
    assert run(["--tables", str(tmp_path), "--page", str(page)]) == 0
    text = page.read_text()
    assert text.startswith("before\n")
    assert text.endswith("\nafter\n")
    assert "old" not in text
    # 4,780 VMs of 100 bytes each, read 612 times a day; 4,400 servers over 380 nodes.
    assert "| VM list reader | traffic of changes | 3,386 bytes/s |" in text
    assert "| load polls | traffic | 1,158 bytes/s |" in text
    assert "| peer link | traffic | not run bytes/s |" in text
    assert "Not run: `streams`." in text


def test_bytes_are_counted_in_both_directions_by_port() -> None:
    CountingSocket.counts_by_port.clear()
    with CountingSocket() as listener:
        (port,) = find_free_ports(1)
        listener.bind(("127.0.0.1", port))
        listener.listen()
        with CountingSocket() as client:
            client.connect(("127.0.0.1", port))
            accepted, _ = socket.socket.accept(listener)
            with accepted:
                client.sendall(b"x" * 100)
                assert len(accepted.recv(1000)) == 100
                accepted.sendall(b"y" * 30)
                buffer = bytearray(64)
                assert client.recv_into(buffer) == 30
    assert CountingSocket.counts_by_port[f"out:{port}"] == [100, 30]
