"""Configurations converge for any order of deliveries; revisions never decrease."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from persimmonlink_model.configuration import Configuration
from persimmonlink_model.record import AccountSpec, Record, RecordKind
from persimmonlink_model.result_code import Failure, ResultCode

NODES = st.integers(0, 3)
NAMES = st.sampled_from(["crew", "hire"])
NEWER_SCHEMA = 2


def _build_record(name: str, revision: int, form: str) -> Record:
    spec = {"weight": float(revision), "unknown": "kept"}
    return Record(
        RecordKind.ACCOUNT,
        name,
        NEWER_SCHEMA if form == "newer" else 1,
        f"change-{revision}",
        revision,
        {} if form == "deleted" else {"weight": -1} if form == "invalid" else spec,
        deleted=form == "deleted",
    )


class ConfigurationMachine(RuleBasedStateMachine):
    """One store's writes reach several nodes late, repeatedly and in any order.

    Nodes 0 and 1 support only the older schema, the others the newer one too.
    """

    def __init__(self) -> None:
        super().__init__()
        self.written: list[Record | tuple[str, int]] = []
        self.nodes: list[Configuration] = []
        self.applied_revision_by_key: dict[tuple[int, str], int] = {}
        self.newest_revision_by_key: dict[tuple[int, str], int] = {}
        self.revision_by_node: dict[int, int] = {}

    @initialize()
    def start(self) -> None:
        for number in range(4):
            self.nodes.append(Configuration(1 if number < 2 else NEWER_SCHEMA))

    @rule(
        name=NAMES,
        form=st.sampled_from(
            ["good", "good", "newer", "deleted", "invalid", "corrupt"]
        ),
    )
    def write(self, name: str, form: str) -> None:
        revision = len(self.written) + 1
        if form == "corrupt":
            self.written.append((f"account/{name}", revision))
            return
        self.written.append(_build_record(name, revision, form))

    @rule(node=NODES, random=st.randoms(use_true_random=False))
    def deliver_some(self, node: int, random: object) -> None:
        for change in random.choices(self.written, k=3) if self.written else []:
            self._deliver(self.nodes[node], change)

    @rule(node=NODES, other=NODES)
    def forward_records(self, node: int, other: int) -> None:
        for record in self.nodes[other].list_newer(0):
            self.nodes[node].apply(record)

    @rule(node=NODES, length=st.integers(0, 60))
    def read_lagging_copy(self, node: int, length: int) -> None:
        for change in self.written[:length]:
            self._deliver(self.nodes[node], change)

    @rule(node=st.integers(0, 3))
    def restart_node(self, node: int) -> None:
        known = self.nodes[node].max_schema_version
        self.nodes[node] = Configuration(known)
        self.revision_by_node.pop(node, None)
        self.applied_revision_by_key = {
            k: v for k, v in self.applied_revision_by_key.items() if k[0] != node
        }
        self.newest_revision_by_key = {
            k: v for k, v in self.newest_revision_by_key.items() if k[0] != node
        }

    @invariant()
    def revisions_never_decrease(self) -> None:
        for number, node in enumerate(self.nodes):
            assert node.revision >= self.revision_by_node.get(number, 0)
            self.revision_by_node[number] = node.revision
            for (_, name), record in node.record_by_key.items():
                assert record.revision >= self.newest_revision_by_key.get(
                    (number, name), 0
                )
                self.newest_revision_by_key[number, name] = record.revision
            for (_, name), applied in node.applied_by_key.items():
                before = self.applied_revision_by_key.get((number, name), 0)
                assert applied.revision >= before
                self.applied_revision_by_key[number, name] = applied.revision
                # Each record is written with its revision as the weight.
                spec = node.find_account(name)
                assert (spec is None) is applied.deleted
                assert spec is None or spec.weight == applied.revision

    @invariant()
    def unknown_fields_are_kept(self) -> None:
        for node in self.nodes:
            for record in node.list_records():
                if record.spec.get("weight") == record.revision:
                    assert record.spec["unknown"] == "kept"

    def teardown(self) -> None:
        for node in self.nodes:
            for change in reversed(self.written):
                self._deliver(node, change)
        if not self.nodes:
            return
        assert len({node.digest for node in self.nodes}) == 1
        assert len({node.revision for node in self.nodes}) == 1
        for node in self.nodes:
            self._check_final(node)

    def _check_final(self, node: Configuration) -> None:
        for name in ("crew", "hire"):
            changes = [c for c in self.written if isinstance(c, Record)]
            usable = [
                c
                for c in changes
                if c.name == name
                and c.schema_version <= node.max_schema_version
                and c.spec.get("weight") != -1
            ]
            spec = node.find_account(name)
            if not usable or usable[-1].deleted:
                assert spec is None
                continue
            assert spec == AccountSpec(weight=float(usable[-1].revision))
            newest = self._find_newest(name)
            is_refused = f"account/{name}" in node.refused_by_path
            assert is_refused is (newest > usable[-1].revision)

    def _find_newest(self, name: str) -> int:
        found = 0
        for revision, change in enumerate(self.written, 1):
            path = change.path if isinstance(change, Record) else change[0]
            if path == f"account/{name}":
                found = revision
        return found

    @staticmethod
    def _deliver(node: Configuration, change: Record | tuple[str, int]) -> None:
        if isinstance(change, Record):
            node.apply(change)
            return
        path, revision = change
        failure = Failure(ResultCode.RECORD_INVALID, "not JSON")
        node.mark_refused(path, revision, failure, b"{")


TestConfiguration = ConfigurationMachine.TestCase
TestConfiguration.settings = settings(max_examples=150, stateful_step_count=25)
