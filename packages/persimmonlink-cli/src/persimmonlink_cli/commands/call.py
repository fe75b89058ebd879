"""Send a request to a pipeline."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Any

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonlink_cli.command import add_node_argument
from persimmonlink_cli.exit_code import ExitCode
from persimmonlink_cli.output import write_error, write_failure, write_json
from persimmonlink_client import EntryClient, PipelineCall, StreamChunk
from persimmonlink_model.result_code import Failure, ResultCode

if TYPE_CHECKING:
    import argparse

    from persimmonlink_client import PipelineAnswer

NAME = "call"
SUMMARY = "Send a request to a pipeline and print its answer."
EXAMPLES = """\
  persimmonlink call kit-return --account festival-crew --input "tent 4 is back"
  persimmonlink call booking --account members-hire --input @order.txt --non-repeatable
  persimmonlink call kit-return --account gate-stewards --input hello --stream --json"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    add_node_argument(parser)
    parser.add_argument("pipeline", metavar="PIPELINE", help="name of the pipeline")
    parser.add_argument("--account", required=True, help="client account")
    parser.add_argument(
        "--input", required=True, metavar="TEXT|@FILE", help="input of the first stage"
    )
    parser.add_argument(
        "--stream", action="store_true", help="print parts as they arrive"
    )
    parser.add_argument(
        "--non-repeatable", action="store_true", help="run the request at most once"
    )
    parser.add_argument("--deadline-ms", type=int, help="deadline in milliseconds")
    parser.add_argument(
        "--request-id", default="", help="id of an earlier attempt, for a retry"
    )
    parser.add_argument(
        "--class",
        dest="request_class",
        default="",
        help="request class, by which the node groups its metrics",
    )
    parser.add_argument(
        "--domain",
        default="",
        help="failure domain of the caller; its entry VMs are preferred",
    )


def execute(args: argparse.Namespace) -> ExitCode:
    """Send the request and print its answer."""
    text = _read_input(args.input)
    if not isinstance(text, Success):
        return write_failure(args, text.failure())
    call = PipelineCall(
        pipeline=args.pipeline,
        account=args.account,
        input=text.unwrap(),
        deadline_ms=args.deadline_ms,
        repeatable=not args.non_repeatable,
        request_class=args.request_class,
        request_id=args.request_id,
    )
    client = EntryClient(args.nodes, domain=args.domain)
    if args.stream:
        return _print_stream(args, client, call)
    answered = client.call(call)
    if not isinstance(answered, Success):
        return write_failure(args, answered.failure())
    if args.json:
        write_json(asdict(answered.unwrap()))
    else:
        print(_to_text(answered.unwrap().output))
        _print_summary(answered.unwrap())
    return ExitCode.OK


def _print_stream(
    args: argparse.Namespace, client: EntryClient, call: PipelineCall
) -> ExitCode:
    """Print the parts of an answer as they arrive."""
    printed = ""
    for item in client.stream(call):
        if not isinstance(item, Success):
            return write_failure(args, item.failure())
        part = item.unwrap()
        if args.json:
            write_json(asdict(part), indent=None)
        elif isinstance(part, StreamChunk):
            printed += part.text
            print(part.text, end="", flush=True)
        else:
            _print_remainder(part, printed)
    return ExitCode.OK


def _print_remainder(answer: PipelineAnswer, printed: str) -> None:
    """Print what is not printed yet, such as the rest after a broken stream."""
    output = _to_text(answer.output)
    if output.startswith(printed):
        print(output[len(printed) :])
    else:
        print()
        print(output)
    _print_summary(answer)


def _print_summary(answer: PipelineAnswer) -> None:
    """Print duration and cost of each stage to stderr, apart from the output."""
    write_error(f"request {answer.request_id} is complete")
    for stage in answer.stages:
        write_error(
            f"{stage.stage}: {stage.server_id}, {stage.seconds:.3f} s, "
            f"cost {stage.cost:.3f} s, {stage.attempts} attempt(s)"
        )


def _read_input(text: str) -> Result[str, Failure]:
    """Return the text itself, or the content of the file after a leading `@`."""
    if not text.startswith("@"):
        return Success(text)
    try:
        return Success(Path(text[1:]).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Failed(Failure(ResultCode.INVALID_FIELD, f"--input: {error}"))


def _to_text(output: Any) -> str:
    """Return an output as text, encoded as JSON unless it is a string."""
    if isinstance(output, str):
        return output
    return json.dumps(output, ensure_ascii=False)


__all__ = ("EXAMPLES", "NAME", "SUMMARY", "add_arguments", "execute")
