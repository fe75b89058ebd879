"""MessagePack codec of the gRPC messages between nodes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec
from grpclib.const import Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError

from persimmonlink_model.result_code import ResultCode
from persimmonlink_peers.message import PROTOCOL_VERSION, Sender

CODE_BY_STATUS = {
    Status.INVALID_ARGUMENT: ResultCode.PEER_MESSAGE_INVALID,
    Status.UNIMPLEMENTED: ResultCode.PEER_VERSION_UNKNOWN,
}
# What decoding raises, also for a message that nests too deeply.
UNREADABLE_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    RecursionError,
    OverflowError,
)


@dataclass(frozen=True)
class _Envelope:
    """Fields that messages of every protocol version have."""

    sender: Sender


class MessagePackCodec(CodecBase):
    """MessagePack codec of frozen data classes; unknown fields are ignored."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message, which must be of its declared type."""
        if not isinstance(message, message_type):
            raise TypeError(
                f"{type(message).__name__} is not a {message_type.__name__}"
            )
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message.

        Raises `GRPCError` with `UNIMPLEMENTED` for a message of a newer protocol
        version, and with `INVALID_ARGUMENT` for a malformed message.
        """
        try:
            message = msgspec.msgpack.decode(data, type=message_type)
        except UNREADABLE_ERRORS as error:
            _reject_newer_version(_decode_sender(data))
            detail = f"malformed {message_type.__name__}: {error}"
            raise GRPCError(Status.INVALID_ARGUMENT, detail) from error
        _reject_newer_version(getattr(message, "sender", None))
        return message


def _reject_newer_version(sender: Sender | None) -> None:
    """Raise `GRPCError` with `UNIMPLEMENTED` if the sender's version is newer."""
    if sender is None or sender.version <= PROTOCOL_VERSION:
        return
    detail = f"protocol version {sender.version} of {sender.node_id} is unsupported"
    raise GRPCError(Status.UNIMPLEMENTED, detail)


def _decode_sender(data: bytes) -> Sender | None:
    try:
        return msgspec.msgpack.decode(data, type=_Envelope).sender
    except UNREADABLE_ERRORS:
        return None


__all__ = ("CODE_BY_STATUS", "MessagePackCodec")
