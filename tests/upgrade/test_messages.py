"""Messages and records of an older build and of this one, each read by the other."""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path

import pytest
from tests.upgrade.settings import make_fields
from tests.upgrade.trees import COMMITS, NEW, extract_tree

SCRIPT = Path(__file__).with_name("message_samples.py")
# Fields that this build sends no more: older builds read messages without them as if
# they had their default, and what those send of them is ignored.
WITHDRAWN_FIELDS = {"RelayRequest": {"is_client_retry"}}


def find_difference(written, read, path=""):
    """Return where two plain values differ in what both builds know, or None."""
    if isinstance(written, dict) and isinstance(read, dict):
        for name in written.keys() & read.keys():
            difference = find_difference(written[name], read[name], f"{path}.{name}")
            if difference is not None:
                return difference
        return None
    if isinstance(written, list) and isinstance(read, list):
        if len(written) != len(read):
            return f"{path}: {written} was read as {read}"
        for position, pair in enumerate(zip(written, read, strict=True)):
            difference = find_difference(*pair, f"{path}[{position}]")
            if difference is not None:
                return difference
        return None
    return None if written == read else f"{path}: {written!r} was read as {read!r}"


def list_faults(samples, results):
    faults = []
    for sample, result in zip(samples, results, strict=True):
        name = f"{sample['type']} ({sample['form']})"
        if result.get("unknown"):
            continue
        if "error" in result:
            faults.append(f"{name}: {result['error']}")
            continue
        for way in ("value", "stored"):
            difference = find_difference(sample["value"], result[way])
            if difference is not None:
                faults.append(f"{name}, {way}: {difference}")
    return sorted(set(faults))


def list_field_names(samples):
    """Return the fields of each type, as the samples that have all of them show."""
    names = defaultdict(set)
    for sample in samples:
        if sample["form"] == "all":
            names[sample["type"]].update(sample["value"])
    return names


@pytest.fixture
def ask(tmp_path):
    """Return a function that runs the script on the sources of a build."""

    def run(tree, command, given=None):
        path = tmp_path / f"{tree.name}.json"
        path.write_text(tree.render_settings(make_fields("entry-0")))
        return tree.run_script(SCRIPT, command, str(path), given=given)

    return run


@pytest.mark.parametrize("commit", COMMITS)
def test_messages_of_the_older_build_are_read_by_this_one(commit, find_tree, ask):
    samples = ask(find_tree(commit), "write")
    assert samples
    assert list_faults(samples, ask(NEW, "read", samples)) == []


@pytest.mark.parametrize("commit", COMMITS)
def test_messages_of_this_build_are_read_by_the_older_one(commit, find_tree, ask):
    samples = ask(NEW, "write")
    assert samples
    assert list_faults(samples, ask(find_tree(commit), "read", samples)) == []


@pytest.mark.parametrize("commit", COMMITS)
def test_no_message_or_field_of_the_older_build_is_gone(commit, find_tree, ask):
    old = list_field_names(ask(find_tree(commit), "write"))
    new = list_field_names(ask(NEW, "write"))
    gone = {name: fields - new[name] for name, fields in old.items()}
    withdrawn = {
        name: fields & old.get(name, set()) for name, fields in WITHDRAWN_FIELDS.items()
    }
    assert {name: fields for name, fields in gone.items() if fields} == {
        name: fields for name, fields in withdrawn.items() if fields
    }


@pytest.mark.parametrize("commit", COMMITS)
def test_calls_of_the_older_build_find_the_same_methods(commit, find_tree, ask):
    old = ask(find_tree(commit), "methods")
    new = ask(NEW, "methods")
    assert old
    assert {call: new.get(call) for call in old} == old


@pytest.mark.parametrize("commit", COMMITS)
def test_keys_in_the_store_are_those_of_the_older_build(commit, find_tree, ask):
    old = set(ask(find_tree(commit), "prefixes").values())
    assert old
    assert sorted(old - set(ask(NEW, "prefixes").values())) == []


@pytest.mark.parametrize("commit", COMMITS)
def test_settings_of_the_older_build_start_this_one(commit, find_tree, tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(find_tree(commit).render_settings(make_fields("entry-0")))
    assert NEW.run_script(SCRIPT, "check", str(path)) == []


@pytest.mark.parametrize("commit", COMMITS)
def test_settings_of_this_build_start_the_older_one(commit, find_tree, tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(NEW.render_settings(make_fields("entry-0")))
    assert find_tree(commit).run_script(SCRIPT, "check", str(path)) == []


def test_a_commit_that_the_history_lacks_is_named(tmp_path):
    with pytest.raises(LookupError, match="no commit 0123456789abcdef"):
        extract_tree("0123456789abcdef", tmp_path)
