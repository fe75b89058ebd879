"""How many examples the fuzzing plays: few and always the same, or many by hand."""

from __future__ import annotations

import os
from typing import Any

from hypothesis import HealthCheck, settings

# Examples of each test in place of those of CI; then they differ from run to run.
EXAMPLES_VARIABLE = "FUZZ_EXAMPLES"
# An example of a whole router stands for so many of a decoder.
DECODER_EXAMPLES_PER_RIG = 50


def play(examples: int = 150) -> Any:
    """Return the settings of a fuzzing test.

    Parameters
    ----------
    examples : int
        Examples in CI.
    """
    wanted = os.environ.get(EXAMPLES_VARIABLE)
    if wanted is not None:
        is_rig = examples < DECODER_EXAMPLES_PER_RIG
        divisor = DECODER_EXAMPLES_PER_RIG if is_rig else 1
        examples = max(1, int(wanted) // divisor)
    return settings(
        max_examples=examples,
        derandomize=wanted is None,
        deadline=None,
        database=None,
        print_blob=True,
        suppress_health_check=list(HealthCheck),
    )


__all__ = ("EXAMPLES_VARIABLE", "play")
