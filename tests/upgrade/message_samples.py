"""Writes and reads samples of messages and records on the sources of one build.

Run as a program with the sources of any build on the import path; it imports nothing
of the tests. `write` prints samples of all types, `read` decodes given ones, and
`methods` prints what the peer server offers.
"""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import importlib
import json
import pkgutil
import sys
import types
import typing
from enum import Enum
from pathlib import Path

import msgspec
from grpclib.exceptions import GRPCError

from persimmonlink_peers.codec import MessagePackCodec

# Types of the entries that routers keep in the store, by module.
RECORDS = {
    "persimmonlink_router.peer_messages": ("RouterMember", "HoldNotice"),
    "persimmonlink_router.stream_version_saver": (
        "SavedStreamVersions",
        "SavedServiceVersions",
    ),
}
BASE_VALUES = {str: "a-text", int: 1, float: 2.5, bytes: b"some bytes"}


def is_structure(kind):
    if not isinstance(kind, type):
        return False
    return dataclasses.is_dataclass(kind) or issubclass(kind, msgspec.Struct)


def list_types(router):
    """Return by name the types of all messages and entries, with what they hold."""
    found = {}
    for handler in list_handlers(router).values():
        add_types(handler.request_type, found)
        add_types(handler.reply_type, found)
    for module_name, names in RECORDS.items():
        try:
            module = importlib.import_module(module_name)
        except ModuleNotFoundError:
            # Some older builds keep no such entries.
            continue
        for name in names:
            if hasattr(module, name):
                add_types(getattr(module, name), found)
    return found


def add_types(hint, found):
    """Add a structure, and those that its fields hold at any depth."""
    for argument in typing.get_args(hint):
        add_types(argument, found)
    if not is_structure(hint) or hint.__name__ in found:
        return
    found[hint.__name__] = hint
    for _, each, _ in list_fields(hint):
        add_types(each, found)


def list_fields(kind):
    """Return the name, type and whether it may be missing, of each field."""
    hints = typing.get_type_hints(kind)
    if issubclass(kind, msgspec.Struct):
        return [
            (field.encode_name, hints[field.name], not field.required)
            for field in msgspec.structs.fields(kind)
        ]
    return [
        (
            field.name,
            hints[field.name],
            field.default is not dataclasses.MISSING
            or field.default_factory is not dataclasses.MISSING,
        )
        for field in dataclasses.fields(kind)
    ]


def make_value(hint, with_optional, choice):
    """Return plain data of a type; `choice` selects among alternatives."""
    origin = typing.get_origin(hint)
    if origin is not None:
        return make_generic(origin, typing.get_args(hint), with_optional, choice)
    if hint is type(None):
        return None
    if hint is bool:
        return choice % 2 == 0
    if hint in BASE_VALUES:
        return BASE_VALUES[hint]
    if issubclass(hint, Enum):
        members = list(hint)
        return members[choice % len(members)].value
    return make_structure(hint, with_optional, choice)


def make_generic(origin, arguments, with_optional, choice):
    """Return plain data of a union, a collection or an annotated type."""
    if origin is typing.Annotated:
        return make_value(arguments[0], with_optional, choice)
    if origin is typing.Literal:
        return arguments[choice % len(arguments)]
    if origin in (typing.Union, types.UnionType):
        return make_value(arguments[choice % len(arguments)], with_optional, choice)
    if origin is dict:
        key, value = (make_value(each, with_optional, choice) for each in arguments)
        return {key: value}
    if origin is tuple and arguments[-1] is not Ellipsis:
        return [make_value(each, with_optional, choice) for each in arguments]
    return [make_value(arguments[0], with_optional, choice)]


def make_structure(kind, with_optional, choice):
    return {
        name: make_value(hint, with_optional, choice)
        for name, hint, is_optional in list_fields(kind)
        if with_optional or not is_optional
    }


def count_choices(hint, seen=()):
    """Return the most alternatives that a type has at any depth."""
    most = 1
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType, typing.Literal):
        most = len(typing.get_args(hint))
    for argument in typing.get_args(hint):
        if isinstance(argument, type) or typing.get_origin(argument) is not None:
            most = max(most, count_choices(argument, seen))
    if hint is bool:
        return 2
    if isinstance(hint, type) and issubclass(hint, Enum):
        return len(hint)
    if is_structure(hint) and hint not in seen:
        for _, each, _ in list_fields(hint):
            most = max(most, count_choices(each, (*seen, hint)))
    return most


def construct(value):
    """Construct decoded data classes anew, as a build does before it sends them.

    A decoded one is encoded without the fields that were missing.
    """
    if isinstance(value, tuple | list):
        return type(value)(construct(each) for each in value)
    if isinstance(value, dict):
        return {key: construct(each) for key, each in value.items()}
    if not dataclasses.is_dataclass(value):
        return value
    fields = dataclasses.fields(value)
    return type(value)(**{f.name: construct(getattr(value, f.name)) for f in fields})


def write_samples(router):
    """Write each type with all fields, with defaults and without optional fields.

    The first two are what this build sends; the last one is what a build sends that
    doesn't know the optional fields.
    """
    codec = MessagePackCodec()
    samples = []
    for name, kind in sorted(list_types(router).items()):
        for form in ("all", "defaults", "missing"):
            for choice in range(count_choices(kind)):
                plain = make_structure(kind, form == "all", choice)
                typed = construct(
                    msgspec.msgpack.decode(msgspec.msgpack.encode(plain), type=kind)
                )
                sent = plain if form == "missing" else typed
                packed = (
                    msgspec.msgpack.encode(plain)
                    if form == "missing"
                    else codec.encode(typed, kind)
                )
                samples.append(
                    {
                        "type": name,
                        "form": form,
                        "msgpack": base64.b64encode(packed).decode(),
                        "json": msgspec.json.encode(sent).decode(),
                        "value": msgspec.to_builtins(typed),
                    }
                )
    return samples


def read_samples(router, samples):
    """Decode samples as a peer's message, and as an entry of the store."""
    codec = MessagePackCodec()
    kinds = list_types(router)
    results = []
    for sample in samples:
        kind = kinds.get(sample["type"])
        if kind is None:
            results.append({"unknown": True})
            continue
        try:
            packed = codec.decode(base64.b64decode(sample["msgpack"]), kind)
            stored = msgspec.json.decode(sample["json"], type=kind)
        except (GRPCError, msgspec.MsgspecError) as error:
            results.append({"error": str(error)})
            continue
        results.append(
            {
                "value": msgspec.to_builtins(packed),
                "stored": msgspec.to_builtins(stored),
            }
        )
    return results


def make_router(settings_path):
    """Return a router of this build, which doesn't run."""
    from persimmonlink_adapter.run import create_adapters
    from persimmonlink_router.router import Router
    from persimmonlink_router.router_settings import read_router_settings

    settings = read_router_settings(Path(settings_path)).unwrap()
    return Router(settings, create_adapters(settings))


def list_handlers(router):
    """Return the handlers of the peer server by path."""

    async def register():
        await router._start_peers()
        await router._peer_server.stop()

    asyncio.run(register())
    return router._peer_server.__mapping__()


def list_methods(router):
    """Return request type, reply type and kind of each method of the peer server."""
    return {
        path: [
            handler.request_type.__name__,
            handler.reply_type.__name__,
            handler.cardinality.name,
        ]
        for path, handler in list_handlers(router).items()
    }


def check_settings(path):
    """Return the faults that this build finds in a settings file."""
    from returns.result import Failure

    from persimmonlink_router.router_settings import read_router_settings

    result = read_router_settings(Path(path))
    if not isinstance(result, Failure):
        return []
    return [f"{fault.path}: {fault.message}" for fault in result.failure()]


def list_key_prefixes():
    """Return the prefixes of the keys of the store, by module and constant."""
    import persimmonlink_router

    found = {}
    for info in pkgutil.iter_modules(persimmonlink_router.__path__):
        module = importlib.import_module(f"persimmonlink_router.{info.name}")
        for name, value in vars(module).items():
            if name.endswith("_PREFIX") and isinstance(value, str):
                found[f"{info.name}.{name}"] = value
    return found


def main():
    command, settings_path = sys.argv[1:]
    given = json.load(sys.stdin)
    if command == "write":
        result = write_samples(make_router(settings_path))
    elif command == "read":
        result = read_samples(make_router(settings_path), given)
    elif command == "methods":
        result = list_methods(make_router(settings_path))
    elif command == "check":
        result = check_settings(settings_path)
    else:
        result = list_key_prefixes()
    json.dump(result, sys.stdout)


if __name__ == "__main__":
    main()
