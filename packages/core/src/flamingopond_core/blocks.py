"""Names of the prompt-prefix blocks that engines cache."""

from __future__ import annotations

import xxhash

# 64 tokens of 4 bytes; engines cache whole blocks only.
BLOCK_BYTES = 256


def prefix_blocks(model: str, adapter: str, prompt: str) -> tuple[str, ...]:
    """Return the names of the whole blocks of ``prompt``, from its start.

    The name of a block depends on everything before it, so two prompts share a
    name exactly if they share the prompt up to that block's end.
    """
    data = prompt.encode()
    state = xxhash.xxh64(f"{model}\0{adapter}\0".encode())
    names = []
    for end in range(BLOCK_BYTES, len(data) + 1, BLOCK_BYTES):
        state.update(data[end - BLOCK_BYTES : end])
        names.append(state.hexdigest())
    return tuple(names)
