"""Client library for callers of persimmonlink."""

from __future__ import annotations

from persimmonlink_client.client import EntryClient
from persimmonlink_client.messages import PipelineAnswer, PipelineCall, StreamChunk

__all__ = ("EntryClient", "PipelineAnswer", "PipelineCall", "StreamChunk")
