"""Names of the prompt-prefix blocks that engines cache."""

from __future__ import annotations

import xxhash

# 64 tokens of 4 bytes; engines cache whole blocks only.
BLOCK_BYTES = 256


def prefix_blocks(model: str, adapter: str, prompt: str) -> tuple[str, ...]:
    """Return the names of the whole blocks of ``prompt``, in order.

    A name is a hash of the model, the adapter and the prompt up to the block's end, so
    prompts share a name only if they are equal up to there.
    """
    data = prompt.encode()
    state = xxhash.xxh64(f"{model}\0{adapter}\0".encode())
    names = []
    for end in range(BLOCK_BYTES, len(data) + 1, BLOCK_BYTES):
        state.update(data[end - BLOCK_BYTES : end])
        names.append(state.hexdigest())
    return tuple(names)
