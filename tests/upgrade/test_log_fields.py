"""Readers of the log find the fields that an older build logged an event with."""

from __future__ import annotations

import pytest
from tests.upgrade.log_events import ANY_FIELD, LoggedFields, list_logged_fields
from tests.upgrade.trees import COMMITS, NEW

# Fields of events that this build doesn't log any more, as docs/changelog says.
WITHDRAWN_FIELDS = {
    "request.completed": {"is_client_retry"},
    "stages.admission_decided": {"lane", "over_share"},
}


@pytest.mark.parametrize("commit", COMMITS)
def test_no_field_of_an_event_that_is_still_logged_is_gone(commit, find_tree):
    old = list_logged_fields(find_tree(commit).path)
    new = list_logged_fields(NEW.path)
    common = old.keys() & new.keys()
    assert common
    gone = {}
    for event in common:
        missing = old[event].sometimes - new[event].sometimes - {ANY_FIELD}
        missing |= old[event].always - new[event].always - {ANY_FIELD}
        if missing:
            gone[event] = missing
    withdrawn = {
        event: fields & old[event].sometimes
        for event, fields in WITHDRAWN_FIELDS.items()
        if event in common
    }
    assert gone == {event: fields for event, fields in withdrawn.items() if fields}


def test_a_field_that_one_place_no_longer_logs_is_not_always_there(tmp_path):
    folder = tmp_path / "platform/src"
    folder.mkdir(parents=True)
    text = 'logger.bind(a=1, b=2).info("x.y"); logger.bind(a=1).info("x.y")'
    (folder / "module.py").write_text(text)
    fields = list_logged_fields(tmp_path)["x.y"]
    assert fields == LoggedFields(frozenset("ab"), frozenset("a"))


def test_a_field_that_is_bound_in_two_steps_is_found(tmp_path):
    folder = tmp_path / "platform/src"
    folder.mkdir(parents=True)
    text = 'logger.bind(a=1).bind(b=2).info("x.y"); log.info("x.z")'
    (folder / "module.py").write_text(text)
    fields = {name: e.always for name, e in list_logged_fields(tmp_path).items()}
    assert fields == {"x.y": {"a", "b"}, "x.z": {ANY_FIELD}}


def test_fields_that_a_function_binds_to_its_own_logger_are_found(tmp_path):
    folder = tmp_path / "platform/src"
    folder.mkdir(parents=True)
    text = """
def describe(origin):
    log = logger.bind(a=1, **origin)
    log.bind(b=2).info("x.y")
    log.info(f"{origin}.z")
"""
    (folder / "module.py").write_text(text)
    fields = {name: e.always for name, e in list_logged_fields(tmp_path).items()}
    assert fields == {"x.y": {"a", "b", ANY_FIELD}, "*.z": {"a", ANY_FIELD}}


def test_fields_of_an_event_that_a_function_is_given_are_found(tmp_path):
    folder = tmp_path / "platform/src"
    folder.mkdir(parents=True)
    text = "def _log_all(event):\n    logger.bind(a=1).info(event)\n"
    (folder / "module.py").write_text(text)
    fields = {name: e.always for name, e in list_logged_fields(tmp_path).items()}
    assert fields == {"<event of _log_all>": {"a"}}
