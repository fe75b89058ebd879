"""Outputs of the stand-in servers, as pure functions of their inputs."""

from __future__ import annotations

from hashlib import sha256

BLOCK_CHARACTERS = 64  # Length of a prefix-cache block, in characters.
_WORDS = (
    "amber",
    "basin",
    "cedar",
    "delta",
    "ember",
    "fjord",
    "grove",
    "heron",
    "inlet",
    "jetty",
    "kelp",
    "larch",
    "maple",
    "north",
    "ocean",
    "prairie",
)


def generate(prompt: str, max_tokens: int) -> list[str]:
    """Generate the tokens that every engine returns for a prompt.

    Parameters
    ----------
    prompt : str
        Whole prompt.
    max_tokens : int
        Number of tokens.

    Returns
    -------
    list of str
        Words, each with a leading space.
    """
    state = sha256(prompt.encode()).digest()
    tokens: list[str] = []
    while len(tokens) < max_tokens:
        tokens.extend(f" {_WORDS[byte % len(_WORDS)]}" for byte in state)
        state = sha256(state).digest()
    return tokens[:max_tokens]


def run_stage(stage: str, stage_input: str) -> str:
    """Compute the output that every plain server returns for a stage.

    Parameters
    ----------
    stage : str
        Name of the stage.
    stage_input : str
        Input of the stage.

    Returns
    -------
    str
        The stage and a short hash of stage and input.
    """
    return f"{stage}({sha256(f'{stage}|{stage_input}'.encode()).hexdigest()[:12]})"


def hash_prefixes(prompt: str) -> list[str]:
    """Hash each prefix of a prompt that ends with a whole block.

    Parameters
    ----------
    prompt : str
        Whole prompt.

    Returns
    -------
    list of str
        Hashes of the first block, the first two blocks and so on.
    """
    hashes = []
    for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
        hashes.append(sha256(prompt[:end].encode()).hexdigest()[:16])
    return hashes


__all__ = ["BLOCK_CHARACTERS", "generate", "hash_prefixes", "run_stage"]
