"""The C library is told to give freed memory back, where it can be told."""

from __future__ import annotations

import ctypes

from persimmonlink_router.client_pressure import allocator
from persimmonlink_router.client_pressure.allocator import return_freed_memory


def test_the_thresholds_are_taken_where_the_c_library_has_them():
    assert return_freed_memory() is hasattr(ctypes.CDLL(None), "mallopt")


def test_a_c_library_without_them_is_left_alone(monkeypatch):
    monkeypatch.setattr(allocator.ctypes, "CDLL", lambda _: object())
    assert not return_freed_memory()
