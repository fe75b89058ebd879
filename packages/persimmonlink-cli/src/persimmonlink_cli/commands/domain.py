"""Drain a failure domain, or restore it."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import uuid6
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonlink_cli.admin_client import AdminClient, Change, ChangeFailure
from persimmonlink_cli.command import add_node_argument
from persimmonlink_cli.exit_code import ExitCode
from persimmonlink_cli.node_status import NodeStatus, fetch_all_statuses
from persimmonlink_cli.output import (
    format_failure,
    write_error,
    write_failure,
    write_json,
)
from persimmonlink_model.record import (
    CURRENT_SCHEMA_VERSION,
    DomainState,
    RecordKind,
)
from persimmonlink_model.result_code import Failure, ResultCode

if TYPE_CHECKING:
    import argparse

NAME = "domain"
SUMMARY = "Take a failure domain out of service, or bring it back."
EXAMPLES = """\
  persimmonlink domain drain midlands-a --wait --node 127.0.0.1:18001
  persimmonlink domain restore midlands-a --wait --timeout-s 20"""

POLL_INTERVAL_S = 0.2
DEFAULT_TIMEOUT_S = 10.0

_STATE_BY_ACTION = {
    "drain": DomainState.DRAINED,
    "restore": DomainState.IN_SERVICE,
}


@dataclass(frozen=True)
class TargetState:
    """Domain state that every node has to confirm.

    Parameters
    ----------
    name : str
        Name of the failure domain.
    is_drained : bool
        Whether the domain must be drained.
    revision : int
        Revision of the record with this state.
    """

    name: str
    is_drained: bool
    revision: int

    def is_confirmed_by(self, node_status: NodeStatus) -> bool:
        """Return whether a node has applied the state."""
        if node_status.failure is not None:
            return False
        drained = node_status.status.get("drained_domains")
        if not isinstance(drained, dict):
            return False
        # A node that lacks the change may have the same state from an earlier change,
        # and its newest revision may come from another record. So the revision of this
        # record is compared.
        revision_by_path = node_status.status.get("in_force_revisions")
        if not isinstance(revision_by_path, dict):
            return False
        revision = revision_by_path.get(f"domain/{self.name}")
        if not isinstance(revision, int) or revision < self.revision:
            return False
        return bool(drained.get(self.name)) is self.is_drained


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    add_node_argument(parser)
    parser.add_argument("action", choices=list(_STATE_BY_ACTION))
    parser.add_argument("name", metavar="NAME", help="name of the failure domain")
    parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until every node has applied the change",
    )
    parser.add_argument(
        "--timeout-s",
        type=float,
        default=DEFAULT_TIMEOUT_S,
        help="timeout of --wait in seconds (default: %(default)s)",
    )


def execute(args: argparse.Namespace) -> ExitCode:
    """Write the domain's record and, with `--wait`, wait for the nodes."""
    client = AdminClient(args.nodes)
    state = _STATE_BY_ACTION[args.action]
    written = _write_state(client, args.name, state)
    if not isinstance(written, Success):
        failed = written.failure()
        if failed.winner is not None and not args.json:
            write_error(f"revision {failed.winner.revision} won: {failed.winner.spec}")
        return write_failure(args, failed.failure)
    target = TargetState(args.name, state is DomainState.DRAINED, written.unwrap())
    if not args.wait:
        return _write_report(args, target, None)
    return _write_report(args, target, wait_for_nodes(client, target, args.timeout_s))


def wait_for_nodes(
    client: AdminClient, target: TargetState, timeout_s: float
) -> dict[str, str | None]:
    """Poll every node until all confirm the state or the timeout passes.

    Parameters
    ----------
    client : AdminClient
        Client of the given nodes.
    target : TargetState
        State that the nodes have to confirm.
    timeout_s : float
        Longest wait, in seconds.

    Returns
    -------
    dict of str to str or None
        For each node None if it confirms, else the reason why it doesn't.
    """
    expires_at = time.monotonic() + timeout_s
    while True:
        reason_by_node = {
            node_status.node: _unconfirmed_reason(node_status, target)
            for node_status in fetch_all_statuses(client)
        }
        is_done = not any(reason_by_node.values())
        if is_done or time.monotonic() >= expires_at:
            return reason_by_node
        time.sleep(POLL_INTERVAL_S)


def _write_state(
    client: AdminClient, name: str, state: DomainState
) -> Result[int, ChangeFailure]:
    """Change the state in a domain's record and keep its other fields."""
    kind = RecordKind.DOMAIN.value
    found = client.find_record(kind, name)
    if not isinstance(found, Success):
        return Failed(ChangeFailure(found.failure()))
    record = found.unwrap()
    if record is None:
        detail = f"domain {name}; write its record with `apply` first"
        return Failed(ChangeFailure(Failure(ResultCode.RECORD_NOT_FOUND, detail)))
    change = Change(
        schema_version=max(record.schema_version, CURRENT_SCHEMA_VERSION),
        change_id=str(uuid6.uuid7()),
        spec={**record.spec, "state": state.value},
        expected_revision=record.revision,
    )
    return client.put_record(kind, name, change)


def _unconfirmed_reason(node_status: NodeStatus, target: TargetState) -> str | None:
    """Return why a node doesn't confirm, or None if it does."""
    if node_status.failure is not None:
        return format_failure(node_status.failure)
    if target.is_confirmed_by(node_status):
        return None
    revision_by_path = node_status.status.get("in_force_revisions")
    if not isinstance(revision_by_path, dict):
        return "does not report the revisions in force"
    revision = revision_by_path.get(f"domain/{target.name}", 0)
    if revision > target.revision:
        return f"superseded by revision {revision}"
    return f"not in force yet (revision {revision})"


def _write_report(
    args: argparse.Namespace,
    target: TargetState,
    reason_by_node: dict[str, str | None] | None,
) -> ExitCode:
    """Print the written revision and which nodes confirm it."""
    unconfirmed = {
        node: reason for node, reason in (reason_by_node or {}).items() if reason
    }
    if args.json:
        report: dict[str, Any] = {"domain": target.name, "revision": target.revision}
        if reason_by_node is not None:
            report["confirmed"] = sorted(set(reason_by_node) - set(unconfirmed))
            report["unconfirmed"] = unconfirmed
        write_json(report)
        return ExitCode.UNAVAILABLE if unconfirmed else ExitCode.OK
    print(f"domain {target.name}: {args.action} written at revision {target.revision}")
    for node, reason in unconfirmed.items():
        write_error(f"{node} does not confirm: {reason}")
    if reason_by_node is not None and not unconfirmed:
        print(f"domain {target.name}: confirmed by {len(reason_by_node)} node(s)")
    return ExitCode.UNAVAILABLE if unconfirmed else ExitCode.OK


__all__ = (
    "EXAMPLES",
    "NAME",
    "SUMMARY",
    "TargetState",
    "add_arguments",
    "execute",
    "wait_for_nodes",
)
