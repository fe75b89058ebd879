"""Events of the structured log and their fields, as a build's sources name them."""

from __future__ import annotations

import ast
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tests.upgrade.trees import SOURCES

if TYPE_CHECKING:
    from pathlib import Path

LEVELS = ("debug", "info", "warning", "error", "exception")
FUNCTIONS = (ast.FunctionDef, ast.AsyncFunctionDef)
ANY_FIELD = "**"  # Stands for fields that the source doesn't name at the event.


@dataclass(frozen=True)
class LoggedFields:
    """Fields of an event.

    Parameters
    ----------
    sometimes : frozenset of str
        Fields that it has at any of the places that log it.
    always : frozenset of str
        Fields that it has at all of them.
    """

    sometimes: frozenset[str]
    always: frozenset[str]


def list_logged_fields(tree_path: Path) -> dict[str, LoggedFields]:
    """Return the fields that each event is logged with, by event."""
    places: dict[str, list[frozenset[str]]] = defaultdict(list)
    for source in SOURCES:
        for path in sorted((tree_path / source).rglob("*.py")):
            for scope in _list_scopes(ast.parse(path.read_text()).body):
                for event, names in _list_calls(scope):
                    places[event].append(frozenset(names))
    return {
        event: LoggedFields(
            frozenset.union(*each),
            frozenset.intersection(*each),
        )
        for event, each in places.items()
    }


def _list_scopes(body: list[ast.stmt]) -> list[ast.stmt]:
    """Return the functions, methods and other statements of a module."""
    scopes = []
    for statement in body:
        if isinstance(statement, ast.ClassDef):
            scopes += _list_scopes(statement.body)
        else:
            scopes.append(statement)
    return scopes


def _list_calls(scope: ast.stmt) -> list[tuple[str, set[str]]]:
    """Return event and fields of each call that logs an event."""
    bound_by_name = _list_loggers(scope)
    found = []
    for node in ast.walk(scope):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        if node.func.attr not in LEVELS or not node.args:
            continue
        event = _name_event(node.args[0], scope)
        if event:
            found.append((event, _list_bound(node.func.value, bound_by_name)))
    return found


def _name_event(node: ast.expr, scope: ast.stmt) -> str:
    """Return the name of an event, empty if the call logs none.

    `*` stands for parts that the source computes. An event that a function is given
    bears the name of the function.
    """
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.JoinedStr):
        parts = [v.value if isinstance(v, ast.Constant) else "*" for v in node.values]
        return "".join(map(str, parts))
    if isinstance(node, ast.Name) and isinstance(scope, FUNCTIONS):
        return f"<{node.id} of {scope.name}>"
    return ""


def _list_loggers(scope: ast.stmt) -> dict[str, set[str]]:
    """Return the fields of each logger that a function binds to a name."""
    bound_by_name: dict[str, set[str]] = {}
    for node in ast.walk(scope):
        if not isinstance(node, ast.Assign) or not _is_derived(node.value):
            continue
        for target in node.targets:
            if isinstance(target, ast.Name):
                bound = _list_bound(node.value, bound_by_name)
                known = bound_by_name.get(target.id, bound)
                bound_by_name[target.id] = known & bound
    return bound_by_name


def _is_derived(node: ast.expr) -> bool:
    """Whether an expression makes a logger of another one."""
    return (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr in ("bind", "opt")
    )


def _list_bound(logger: ast.expr, bound_by_name: dict[str, set[str]]) -> set[str]:
    """Return the fields that are bound to a logger where an event is logged."""
    if isinstance(logger, ast.Name) and logger.id == "logger":
        return set()
    if isinstance(logger, ast.Name) and logger.id in bound_by_name:
        return bound_by_name[logger.id]
    if not _is_derived(logger):
        # A logger that was bound elsewhere.
        return {ANY_FIELD}
    assert isinstance(logger, ast.Call)
    assert isinstance(logger.func, ast.Attribute)
    names = {keyword.arg or ANY_FIELD for keyword in logger.keywords}
    if logger.func.attr == "opt":
        names = set()
    return names | _list_bound(logger.func.value, bound_by_name)


__all__ = ("ANY_FIELD", "LoggedFields", "list_logged_fields")
