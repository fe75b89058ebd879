"""The output that a pipeline must produce on the stand-ins."""

from __future__ import annotations

from typing import Any

from persimmonlink_stand_ins.work import generate, run_stage


def compute_expected_output(
    stages: list[dict[str, Any]], specs: dict[tuple[str, str], dict], text: str
) -> str:
    """Return the expected output of a pipeline for an input.

    Parameters
    ----------
    stages : list of dict
        Stages of the pipeline's record.
    specs : dict
        Specifications by kind and name.
    text : str
        Input of the first stage.
    """
    for stage in stages:
        if specs["service", stage["service"]]["kind"] == "engine":
            text = "".join(generate(text, stage.get("max_tokens", 16)))
            continue
        text = run_stage(stage["name"], text)
    return text


__all__ = ("compute_expected_output",)
