"""Fake nodes for the tests of the client library."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.client.fake_node import FakeNode

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def node() -> Iterator[FakeNode]:
    fake = FakeNode()
    yield fake
    fake.stop()


@pytest.fixture
def other_node() -> Iterator[FakeNode]:
    fake = FakeNode()
    yield fake
    fake.stop()
