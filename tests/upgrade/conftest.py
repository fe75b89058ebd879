"""Trees of earlier builds, extracted once for all tests."""

from __future__ import annotations

import pytest
from tests.upgrade.trees import extract_tree


@pytest.fixture(scope="session")
def find_tree(tmp_path_factory):
    """Return a function that gives the tree of a commit."""
    tree_by_commit = {}

    def find(commit):
        if commit not in tree_by_commit:
            folder = tmp_path_factory.mktemp(f"build-{commit}")
            tree_by_commit[commit] = extract_tree(commit, folder)
        return tree_by_commit[commit]

    return find
