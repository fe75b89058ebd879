"""Source trees of earlier builds, taken from the repository's own history."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tarfile
from dataclasses import dataclass
from io import BytesIO
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
# What a build consists of; older trees lack none of these.
PARTS = ("packages", "platform", "deploy", "constraints.txt")
SOURCES = (
    "packages/persimmonlink-model/src",
    "packages/persimmonlink-peers/src",
    "packages/persimmonlink-router/src",
    "platform/src",
)
# The landing that runs in production, played in CI; others by hand, as a list of
# commits joined by commas.
PRODUCTION = "2a7be08"
COMMITS = tuple(os.environ.get("UPGRADE_FROM", PRODUCTION).split(","))
START_PROGRAM = "deploy/start.py"
SCRIPT_TIMEOUT_S = 60.0


@dataclass(frozen=True)
class Tree:
    """Sources of one build.

    Parameters
    ----------
    name : str
        Commit, or `new` for the sources beside this test.
    path : Path
        Folder of the sources.
    """

    name: str
    path: Path

    @property
    def environment(self) -> dict[str, str]:
        """Environment in which Python imports the sources of this build alone."""
        paths = os.pathsep.join(str(self.path / source) for source in SOURCES)
        return {**os.environ, "PYTHONPATH": paths, "PYTHONDONTWRITEBYTECODE": "1"}

    def run_script(self, script: Path, *arguments: str, given: Any = None) -> Any:
        """Run a script on the sources of this build; JSON goes in and comes out."""
        done = subprocess.run(
            [sys.executable, "-P", str(script), *arguments],
            input=json.dumps(given).encode(),
            env=self.environment,
            capture_output=True,
            timeout=SCRIPT_TIMEOUT_S,
            check=False,
        )
        assert done.returncode == 0, f"{self.name}: {done.stderr.decode()[-3000:]}"
        return json.loads(done.stdout)

    def render_settings(self, fields: dict[str, Any]) -> str:
        """Fill in the template of this build as the platform does."""
        template = (self.path / "deploy/settings.json.template").read_text()

        def fill(match: re.Match[str]) -> str:
            name, _, form = match.group(1).partition("|")
            # A field that the platform doesn't have is a fault of the template.
            value = fields[name]
            return json.dumps(value) if form == "json" else str(value)

        return re.sub(r"\{\{([^{}]+)\}\}", fill, template)


# Sources of another folder by hand, such as those of a branch.
NEW = Tree("new", Path(os.environ.get("UPGRADE_TO", ROOT)))


def extract_tree(commit: str, folder: Path) -> Tree:
    """Write the tree of a commit of the history to a folder.

    Raises `LookupError` if the history lacks it, as in a shallow clone.
    """
    archive = subprocess.run(
        ["git", "archive", commit, *PARTS], cwd=ROOT, capture_output=True, check=False
    )
    if archive.returncode:
        detail = archive.stderr.decode().strip()
        message = (
            f"the history has no commit {commit}, so that its build can't be run beside"
            f" this one; fetch the whole history (git fetch --unshallow): {detail}"
        )
        raise LookupError(message)
    with tarfile.open(fileobj=BytesIO(archive.stdout)) as tar:
        tar.extractall(folder, filter="data")
    return Tree(commit, folder)


__all__ = ("COMMITS", "NEW", "PRODUCTION", "START_PROGRAM", "Tree", "extract_tree")
