"""Exit codes of the commands."""

from __future__ import annotations

from enum import IntEnum

from persimmonlink_model.result_code import Failure, ResultCode, RunState


class ExitCode(IntEnum):
    """Exit codes that all commands share."""

    OK = 0
    BAD_INPUT = 2
    NOT_RUN = 3
    FAILED = 4
    CONFLICT = 5
    UNAVAILABLE = 6


_EXIT_CODE_BY_RESULT = {
    ResultCode.RECORD_CONFLICT: ExitCode.CONFLICT,
    ResultCode.RECORD_INVALID: ExitCode.BAD_INPUT,
    ResultCode.RECORD_SCHEMA_UNKNOWN: ExitCode.BAD_INPUT,
    ResultCode.RECORD_NOT_FOUND: ExitCode.BAD_INPUT,
}
_REQUEST_CODES = range(1000, 2000)
_PLATFORM_AND_PEER_CODES = range(4000, 6000)


def exit_code_of(failure: Failure) -> ExitCode:
    """Return the exit code of a failure.

    Parameters
    ----------
    failure : Failure
        Failure that ended the command.

    Returns
    -------
    ExitCode
        `FAILED` if something may have been run or written, unless the result code has
        an exit code of its own.
    """
    known = _EXIT_CODE_BY_RESULT.get(failure.code)
    if known is not None:
        return known
    if failure.run_state is not RunState.NOT_RUN:
        return ExitCode.FAILED
    if failure.code.value in _REQUEST_CODES:
        return ExitCode.BAD_INPUT
    if failure.code.value in _PLATFORM_AND_PEER_CODES:
        return ExitCode.UNAVAILABLE
    return ExitCode.NOT_RUN


__all__ = ("ExitCode", "exit_code_of")
