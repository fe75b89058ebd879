"""In calm, only requests that cross the end of an idle connection go unanswered."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from tests.upgrade.exchange import KINDS, Attempt
from tests.upgrade.run_view import RunView

RUN_ID = "ran"


def make_attempt(**changes) -> Attempt:
    attempt = Attempt("sent", KINDS[0], b"", idle_s=15.0, sent_at=1.0, ended_at=1.001)
    attempt.end = "broke off"
    for name, value in changes.items():
        setattr(attempt, name, value)
    return attempt


def crossed(attempt: Attempt) -> bool:
    server = SimpleNamespace(runs=[SimpleNamespace(request_id=RUN_ID)])
    deployment = SimpleNamespace(server_by_id={"desk-0": server})
    return RunView(deployment, [attempt], 0.0).crossed_idle_close(attempt)


def test_a_request_on_a_connection_that_ends_as_idle_crossed_its_close():
    assert crossed(make_attempt())


@pytest.mark.parametrize(
    "changes",
    [
        {"idle_s": None},
        {"idle_s": 14.5},
        {"ended_at": 1.3},
        {"status": 200},
        {"end": "gave up"},
        {"request_id": RUN_ID},
    ],
)
def test_other_requests_without_a_response_did_not_cross_a_close(changes):
    assert not crossed(make_attempt(**changes))
