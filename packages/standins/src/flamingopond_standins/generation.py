"""Continuous batching of the fake engine."""

from __future__ import annotations

import time
from collections import OrderedDict, deque
from collections.abc import AsyncIterator

import anyio
import attrs
import orjson

from flamingopond_core.blocks import BLOCK_BYTES
from flamingopond_core.enums import Priority
from flamingopond_platform.engine import GenerateEnd, GenerateRequest, TokenChunk
from flamingopond_standins.answers import (
    answer_digest,
    answer_token,
    answer_token_count,
    prompt_token_count,
)
from flamingopond_standins.engine_memory import EngineMemory, HeldModel
from flamingopond_standins.faults import FaultTable
from flamingopond_standins.prefix_cache import PrefixCache

# Chunked prefill: a limit per step, so that long prompts do not stall other answers.
_MAX_PREFILL_TOKENS_PER_STEP = 512
_MAX_REMEMBERED_ATTEMPTS = 256


@attrs.frozen
class BatchSettings:
    """Speed and size of the batch.

    A decoding step takes ``step_base_s``, plus ``step_per_attempt_s`` for each
    attempt in the batch, plus the time of the prompt tokens that it prefills.
    """

    step_base_s: float = 0.010
    step_per_attempt_s: float = 0.0005
    prefill_tokens_per_s: float = 8000.0
    max_batch: int = 32
    keepalive_s: float = 0.4


@attrs.define(eq=False)
class Attempt:
    """State of one generation request."""

    request: GenerateRequest
    held_model: HeldModel
    digest: bytes
    prompt_tokens: int
    answer_token_count: int
    prefill_tokens_left: int
    next_index: int
    items: deque[TokenChunk | GenerateEnd] = attrs.field(factory=deque)
    item_added: anyio.Event = attrs.field(factory=anyio.Event)
    cancelled: bool = False
    ended: bool = False
    # Computed time of each decoding step, without scheduling delays of the machine.
    steps_s: list[float] = attrs.field(factory=list)

    def add_item(self, item: TokenChunk | GenerateEnd) -> None:
        """Add an item to the stream of this attempt."""
        self.items.append(item)
        self.item_added.set()


class Batch:
    """Runs up to ``max_batch`` attempts at once; premium ones are admitted first."""

    def __init__(
        self,
        settings: BatchSettings,
        memory: EngineMemory,
        cache: PrefixCache,
        faults: FaultTable,
    ) -> None:
        """Start without attempts."""
        self._settings = settings
        self._memory = memory
        self._cache = cache
        self._faults = faults
        self._waiting: dict[Priority, deque[Attempt]] = {
            priority: deque() for priority in Priority
        }
        self._running: list[Attempt] = []
        self._attempts: OrderedDict[str, Attempt] = OrderedDict()
        self._imported_kv: OrderedDict[str, bytes] = OrderedDict()
        self._work_added = anyio.Event()

    @property
    def running(self) -> int:
        """Number of attempts in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of queued attempts."""
        return sum(len(queue) for queue in self._waiting.values())

    @property
    def waiting_tokens(self) -> int:
        """Number of tokens not yet prefilled, over all attempts."""
        queued = (a for queue in self._waiting.values() for a in queue)
        return sum(a.prefill_tokens_left for a in (*queued, *self._running))

    def submit(self, request: GenerateRequest, held_model: HeldModel) -> Attempt:
        """Queue an attempt on a loaded model."""
        prompt = request.prompt
        answer_key = (request.model, held_model.version, request.adapter, prompt)
        digest = answer_digest(*answer_key)
        prompt_tokens = prompt_token_count(prompt)
        prefill_tokens = prompt_tokens + request.resume_from
        cached_blocks = self._cache.use(
            request.model, request.adapter, prompt, time.monotonic()
        )
        prefill_tokens = max(0, prefill_tokens - cached_blocks * BLOCK_BYTES // 4)
        kv_state = self._imported_kv.pop(request.attempt_id, None)
        if kv_state is not None and self._kv_matches(kv_state, digest):
            prefill_tokens = 0
        attempt = Attempt(
            request=request,
            held_model=held_model,
            digest=digest,
            prompt_tokens=prompt_tokens,
            answer_token_count=answer_token_count(*answer_key, request.max_tokens),
            prefill_tokens_left=prefill_tokens,
            next_index=request.resume_from,
        )
        held_model.running_requests += 1
        self._attempts[request.attempt_id] = attempt
        while len(self._attempts) > _MAX_REMEMBERED_ATTEMPTS:
            oldest_id, oldest = self._attempts.popitem(last=False)
            if not oldest.ended:
                self._attempts[oldest_id] = oldest
                break
        self._waiting[request.priority].append(attempt)
        self._work_added.set()
        return attempt

    def cancel(self, attempt_id: str) -> bool:
        """Cancel an attempt; return ``False`` if it is unknown or has ended."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.ended:
            return False
        attempt.cancelled = True
        self._finish(attempt)
        return True

    def export_kv(self, attempt_id: str) -> bytes | None:
        """Return the KV state, or ``None`` for an unknown or unprefilled attempt."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.prefill_tokens_left:
            return None
        return orjson.dumps(
            {"digest": attempt.digest.hex(), "tokens": attempt.next_index}
        )

    def import_kv(self, attempt_id: str, data: bytes) -> None:
        """Store KV state for the attempt that will resume with it."""
        self._imported_kv[attempt_id] = data
        while len(self._imported_kv) > _MAX_REMEMBERED_ATTEMPTS:
            self._imported_kv.popitem(last=False)

    async def stream(self, attempt: Attempt) -> AsyncIterator[bytes]:
        """Yield server-sent events until the attempt ends; cancel it on early exit."""
        yield b": accepted\n\n"
        try:
            while True:
                while attempt.items:
                    item = attempt.items.popleft()
                    kind = b"end" if isinstance(item, GenerateEnd) else b"chunk"
                    data = orjson.dumps(attrs.asdict(item))
                    yield b"event: " + kind + b"\ndata: " + data + b"\n\n"
                if attempt.ended:
                    return
                attempt.item_added = anyio.Event()
                with anyio.move_on_after(self._settings.keepalive_s) as wait_scope:
                    await attempt.item_added.wait()
                if wait_scope.cancelled_caught:
                    yield b": keepalive\n\n"
        finally:
            if not attempt.ended:
                attempt.cancelled = True
                self._finish(attempt)

    async def run(self) -> None:
        """Run steps until cancelled."""
        while True:
            self._admit()
            if not self._running:
                self._work_added = anyio.Event()
                await self._work_added.wait()
                continue
            await self._step()
            await self._faults.wait_while_paused()

    def _admit(self) -> None:
        for priority in (Priority.PREMIUM, Priority.STANDARD):
            queue = self._waiting[priority]
            while queue and len(self._running) < self._settings.max_batch:
                self._running.append(queue.popleft())

    async def _step(self) -> None:
        settings = self._settings
        token_budget = _MAX_PREFILL_TOKENS_PER_STEP
        prefilled: list[tuple[Attempt, int]] = []
        decoding = [a for a in self._running if not a.prefill_tokens_left]
        for attempt in self._running:
            tokens = min(token_budget, attempt.prefill_tokens_left)
            if tokens:
                prefilled.append((attempt, tokens))
                token_budget -= tokens
        duration_s = (
            _MAX_PREFILL_TOKENS_PER_STEP - token_budget
        ) / settings.prefill_tokens_per_s
        if decoding:
            duration_s += settings.step_base_s + settings.step_per_attempt_s * len(
                self._running
            )
        await anyio.sleep(duration_s)
        for attempt, tokens in prefilled:
            attempt.prefill_tokens_left -= tokens
        for attempt in decoding:
            if not attempt.ended:
                attempt.steps_s.append(round(duration_s, 4))
                self._decode(attempt)

    def _decode(self, attempt: Attempt) -> None:
        index = attempt.next_index
        if index < attempt.answer_token_count:
            token = answer_token(attempt.digest, index)
            chunk = TokenChunk(attempt.request.attempt_id, index, (token,))
            attempt.next_index += 1
            attempt.add_item(chunk)
        if attempt.next_index >= attempt.answer_token_count:
            self._finish(attempt)

    def _finish(self, attempt: Attempt) -> None:
        attempt.ended = True
        if attempt in self._running:
            self._running.remove(attempt)
        queue = self._waiting[attempt.request.priority]
        if attempt in queue:
            queue.remove(attempt)
        self._memory.release(attempt.held_model)
        reason = "stop"
        if attempt.cancelled:
            reason = "cancelled"
        elif attempt.answer_token_count >= attempt.request.max_tokens:
            reason = "length"
        attempt.add_item(
            GenerateEnd(
                attempt_id=attempt.request.attempt_id,
                finish_reason=reason,
                prompt_tokens=attempt.prompt_tokens,
                answer_tokens=attempt.next_index,
                load=self.running + self.waiting,
            )
        )

    def _kv_matches(self, kv_state: bytes, digest: bytes) -> bool:
        try:
            return bool(orjson.loads(kv_state)["digest"] == digest.hex())
        except (orjson.JSONDecodeError, KeyError, TypeError):
            return False
