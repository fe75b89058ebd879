"""Client of the platform's VM list."""

from __future__ import annotations

from typing import Protocol

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success
from urllib3.exceptions import HTTPError

from persimmonlink_interfaces.bounded_response import read_body
from persimmonlink_interfaces.connection import create_pool, create_timeout
from persimmonlink_model.result_code import Failure, ResultCode
from persimmonlink_model.server_directory import VmListing

READ_TIMEOUT_S = 1.0
_HTTP_OK = 200
_HTTP_NOT_MODIFIED = 304


class VmListReader(Protocol):
    """Reads the VM list, which may lag behind the actual VMs."""

    def read(self) -> Result[VmListing, Failure]:
        """Return the list, or fail with `VM_LIST_INVALID`."""
        ...


class HttpVmListReader:
    """Reads the VM list by `GET /v1/vms`.

    If the service sends an entity tag, the list is transferred only when it changed.

    Parameters
    ----------
    address : str
        `IP:PORT`.
    """

    def __init__(self, address: str) -> None:
        self._pool = create_pool(address)
        self._etag = ""
        self._cached_listing: VmListing | None = None

    def read(self) -> Result[VmListing, Failure]:
        """Return the list, or fail with `VM_LIST_INVALID`."""
        headers = {"If-None-Match": self._etag} if self._etag else {}
        try:
            response = self._pool.urlopen(
                "GET",
                "/v1/vms",
                headers=headers,
                timeout=create_timeout(READ_TIMEOUT_S),
                redirect=False,
                preload_content=False,
            )
            data = read_body(response, READ_TIMEOUT_S)
            if (
                response.status == _HTTP_NOT_MODIFIED
                and self._cached_listing is not None
            ):
                return Success(self._cached_listing)
            if response.status != _HTTP_OK:
                return Err(_invalid_failure(f"HTTP status {response.status}"))
            self._cached_listing = msgspec.json.decode(data, type=VmListing)
            self._etag = response.headers.get("ETag", "")
            return Success(self._cached_listing)
        except (HTTPError, OSError, msgspec.MsgspecError) as error:
            return Err(_invalid_failure(f"{type(error).__name__}: {error}"))


def _invalid_failure(detail: str) -> Failure:
    return Failure(ResultCode.VM_LIST_INVALID, detail)


__all__ = ("HttpVmListReader", "VmListReader")
