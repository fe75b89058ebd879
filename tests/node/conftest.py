"""Fixtures for tests that run nodes as separate processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from persimmonlink_bench.deployment import Deployment, DeploymentPlan

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture(scope="module")
def trentside() -> Iterator[Deployment]:
    """Two nodes with Trentside's stand-in services, shared by a module's tests."""
    with Deployment(DeploymentPlan("trentside")) as deployment:
        yield deployment
