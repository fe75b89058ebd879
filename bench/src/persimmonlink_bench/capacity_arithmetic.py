"""Extrapolates the measured slopes to the size of the target system."""

from __future__ import annotations

from persimmonlink_bench.capacity_slopes import CapacityFigure, MeasurementTables

NODES = 380
SERVERS = 4_400
REQUESTS_PER_S = 96_000
TOKENS_PER_S = 21_000_000
ACCOUNTS = 6_400
DOMAINS = 10
MODELS = 14
PLAIN_SERVICES = 6
STAGES = 4
DEADLINE_S = 2.0
RETRY_HORIZON_S = 600.0
CHANGES_PER_DAY = 4_200
VM_CHANGES_PER_DAY = 612
KV_CALLS_PER_CHANGE = 2
DAY_S = 86_400
CLAIM_SHARDS = 8
CLAIM_APPENDS_PER_S = 6
CONFIG_WATCHERS = 2
CONFIG_PEERS = 8
HEARTBEAT_PEERS = 4
BUDGET_CPU_PERCENT = 1.3
BUDGET_MEMORY_MB = 32
BUDGET_BYTES_PER_S = 6_000


def compute_capacity_figures(tables: MeasurementTables) -> list[CapacityFigure]:
    """Return all figures of the capacity page."""
    figures = [
        *_compute_request_path(tables),
        *_compute_peer_link(tables),
        *_compute_pools(tables),
        *_compute_vm_list_and_config(tables),
        *_compute_key_value(),
        *_compute_memory(tables),
    ]
    # A figure whose unit ends in a space ("bytes/s ") is left out of the sums.
    control_roles = (
        "peer link",
        "asks for slots",
        "load polls",
        "VM list reader",
        "configuration watcher",
    )
    total = sum(
        x.value for x in figures if x.role in control_roles and x.unit == "bytes/s"
    )
    derivation = f"sum; the letter allows {BUDGET_BYTES_PER_S}"
    figures.append(
        CapacityFigure("all control", "traffic", total, "bytes/s", derivation)
    )
    cpu = sum(
        x.value for x in figures if x.role in control_roles and x.unit == "% of a core"
    )
    derivation = f"sum; the letter allows {BUDGET_CPU_PERCENT}"
    figures.append(
        CapacityFigure("all control", "processor time", cpu, "% of a core", derivation)
    )
    return figures


def _compute_request_path(tables: MeasurementTables) -> list[CapacityFigure]:
    role = "entry node"
    rate = REQUESTS_PER_S / NODES
    tokens = TOKENS_PER_S / NODES
    base_ms = tables.read_derived("streams", "cpu_ms_a_request_without_stages")
    stage_ms = tables.read_derived("streams", "cpu_ms_a_plain_stage")
    token_ms = tables.read_derived("streams", "cpu_ms_a_token")
    requests_cores = rate * (base_ms + STAGES * stage_ms) / 1000
    tokens_cores = tokens * token_ms / 1000
    running_mb, _ = tables.fit("memory-running", "running", "rss_mb")
    kept_mb, _ = tables.fit("memory-kept", "answered", "rss_mb")
    running = rate * DEADLINE_S
    kept = rate * RETRY_HORIZON_S
    return [
        CapacityFigure(
            role, "requests", rate, "1/s", f"{REQUESTS_PER_S:,} over {NODES}"
        ),
        CapacityFigure(role, "tokens", tokens, "1/s", f"{TOKENS_PER_S:,} over {NODES}"),
        CapacityFigure(
            role,
            "processor time for requests",
            requests_cores,
            "cores",
            f"{base_ms:.2f} ms a request, {stage_ms:.2f} ms each of {STAGES} stages",
        ),
        CapacityFigure(
            role,
            "processor time for tokens",
            tokens_cores,
            "cores",
            f"{token_ms:.4f} ms a token, streamed to the caller",
        ),
        CapacityFigure(
            role,
            "memory of running requests",
            running * running_mb,
            "MB",
            f"{running:.0f} at {1000 * running_mb:.0f} KB, each for {DEADLINE_S:g} s",
        ),
        CapacityFigure(
            role,
            "memory if every answer were kept for the retry horizon",
            kept * kept_mb,
            "MB",
            f"{kept:,.0f} at {1000 * kept_mb:.1f} KB; a setting bounds it to 8 MB",
        ),
    ]


def _compute_peer_link(tables: MeasurementTables) -> list[CapacityFigure]:
    role = "peer link"
    _, base_rate = tables.fit("control-pools", "pools", "peers_bytes_per_s")
    _, base_cpu = tables.fit("control-pools", "pools", "cpu_percent_mean")
    # At four nodes a node exchanges heartbeats and configuration comparisons with its
    # three peers in each direction, which makes six.
    factor = (CONFIG_PEERS + HEARTBEAT_PEERS) / 6
    derivation = (
        f"{base_rate:.0f} with 3 peers and no pools, times {factor:g}: heartbeats with "
        f"{HEARTBEAT_PEERS} peers, comparisons with {CONFIG_PEERS}"
    )
    cpu_derivation = f"{base_cpu:.2f} with 3 peers and no pools, times {factor:g}"
    return [
        CapacityFigure(role, "traffic", base_rate * factor, "bytes/s", derivation),
        CapacityFigure(
            role, "processor time", base_cpu * factor, "% of a core", cpu_derivation
        ),
    ]


def _compute_pools(tables: MeasurementTables) -> list[CapacityFigure]:
    pools = (MODELS + PLAIN_SERVICES) * DOMAINS
    own_domain_pools = pools / DOMAINS
    bytes_per_pool, _ = tables.fit("control-pools", "pools", "peers_bytes_per_s")
    # A node calls its own coordinator without traffic, so at four nodes a pool causes
    # three quarters of the traffic per node that it causes among hundreds.
    bytes_per_pool *= 4 / 3
    cpu_per_pool, _ = tables.fit("control-pools", "pools", "cpu_percent_mean")
    # The servers were measured with two nodes, each of which polls half of them.
    poll_bytes, _ = tables.fit("control-servers", "servers", "servers_bytes_per_s")
    poll_cpu, _ = tables.fit("control-servers", "servers", "cpu_percent_mean")
    poll_bytes, poll_cpu = 2 * poll_bytes, 2 * poll_cpu
    # 17 servers in 15 pools, of which each of the four nodes polls a quarter.
    cpu_per_pool -= poll_cpu * 17 / 15 / 4
    polled_servers = SERVERS / NODES
    return [
        CapacityFigure(
            "asks for slots",
            f"traffic, asking in all {pools} pools",
            pools * bytes_per_pool,
            "bytes/s",
            f"{bytes_per_pool:.0f} a pool, both ways",
        ),
        CapacityFigure(
            "asks for slots",
            f"processor time, asking in all {pools} pools",
            pools * cpu_per_pool,
            "% of a core",
            f"{cpu_per_pool:.3f} a pool, less the polls of its servers",
        ),
        CapacityFigure(
            "asks in the own domain only",
            f"traffic, {own_domain_pools:.0f} pools",
            own_domain_pools * bytes_per_pool,
            "bytes/s ",
            f"{bytes_per_pool:.0f} a pool",
        ),
        CapacityFigure(
            "coordinator",
            "pools of a node, mean",
            pools / NODES,
            "pools",
            f"{pools} pools over {NODES} nodes",
        ),
        CapacityFigure(
            "coordinator",
            "traffic of one pool asked by all nodes",
            NODES * bytes_per_pool / 2,
            "bytes/s ",
            "as above; by one domain's 38 nodes it is a tenth",
        ),
        CapacityFigure(
            "load polls",
            "traffic",
            polled_servers * poll_bytes,
            "bytes/s",
            f"{polled_servers:.1f} servers at {poll_bytes:.0f}, four polls a second",
        ),
        CapacityFigure(
            "load polls",
            "processor time",
            polled_servers * poll_cpu,
            "% of a core",
            f"{polled_servers:.1f} servers at {poll_cpu:.3f}",
        ),
    ]


def _compute_vm_list_and_config(tables: MeasurementTables) -> list[CapacityFigure]:
    role = "VM list reader"
    vms = SERVERS + NODES
    idle_bytes_per_s = tables.read_last("control-servers", "vm_list_bytes_per_s")
    read_bytes, _ = tables.fit("control-servers", "servers", "vm_list_read_bytes")
    changes_per_s = VM_CHANGES_PER_DAY / DAY_S
    # With static slots no server is polled, so only the cost of the VM list grows.
    name = "control-servers-static_slots"
    cpu_per_vm, _ = tables.fit(name, "servers", "cpu_percent_mean")
    memory_per_vm_mb, _ = tables.fit(name, "servers", "rss_mb_mean")
    cpu_per_account, _ = tables.fit("control-accounts", "accounts", "cpu_percent_mean")
    return [
        CapacityFigure(
            role,
            "traffic while nothing changes",
            idle_bytes_per_s,
            "bytes/s",
            "two reads a second, answered by 304",
        ),
        CapacityFigure(
            role,
            "traffic of changes",
            vms * read_bytes * changes_per_s,
            "bytes/s",
            f"{read_bytes:.0f} a VM, read whole at {VM_CHANGES_PER_DAY} changes a day",
        ),
        CapacityFigure(
            role,
            "processor time of registered VMs, none of them polled",
            vms * cpu_per_vm,
            "% of a core",
            f"{cpu_per_vm:.5f} a VM",
        ),
        CapacityFigure(
            role,
            "memory",
            vms * memory_per_vm_mb,
            "MB",
            f"{1000 * memory_per_vm_mb:.2f} KB a VM",
        ),
        CapacityFigure(
            "configuration watcher",
            "processor time of the accounts' records, nothing changing",
            ACCOUNTS * cpu_per_account,
            "% of a core",
            f"{cpu_per_account:.5f} an account",
        ),
    ]


def _compute_key_value() -> list[CapacityFigure]:
    role = "key-value service"
    changes_per_s = CHANGES_PER_DAY / DAY_S
    claim_appends_per_s = CLAIM_SHARDS * CLAIM_APPENDS_PER_S
    return [
        CapacityFigure(
            role,
            "calls for configuration, whole fleet",
            changes_per_s * KV_CALLS_PER_CHANGE,
            "1/s",
            f"{CHANGES_PER_DAY} changes a day, a read and a swap each",
        ),
        CapacityFigure(
            role,
            "writes for claims, whole fleet, at most",
            claim_appends_per_s,
            "1/s",
            f"{CLAIM_SHARDS} shards, {CLAIM_APPENDS_PER_S} appends a second each",
        ),
        CapacityFigure(
            role,
            "waiting watches, whole fleet",
            CONFIG_WATCHERS,
            "watches",
            "two nodes watch the configuration",
        ),
    ]


def _compute_memory(tables: MeasurementTables) -> list[CapacityFigure]:
    role = "memory of control"
    memory_per_account_mb, _ = tables.fit("control-accounts", "accounts", "rss_mb_mean")
    return [
        CapacityFigure(
            role,
            "bare Python",
            tables.read_last("memory-idle", "python_mb"),
            "MB",
            "before any line of ours runs",
        ),
        CapacityFigure(
            role,
            "Python with the daemon's imports",
            tables.read_last("memory-idle", "imports_mb"),
            "MB",
            "libraries and code",
        ),
        CapacityFigure(
            role,
            "idle node over its imports",
            tables.read_last("memory-idle", "control_and_threads_mb"),
            "MB",
            "threads, control loop, state at Trentside's size",
        ),
        CapacityFigure(
            role,
            "configuration records",
            ACCOUNTS * memory_per_account_mb,
            "MB",
            f"{1000 * memory_per_account_mb:.2f} KB an account",
        ),
    ]


__all__ = ("compute_capacity_figures",)
