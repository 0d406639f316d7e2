"""Continuous batching of the engine stand-in."""

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
    answer_length,
    answer_token,
    prompt_token_count,
)
from flamingopond_standins.engine_memory import EngineMemory, HeldModel
from flamingopond_standins.faults import FaultTable
from flamingopond_standins.prefix_cache import PrefixCache

# Prompt tokens that one step processes at most, so that running answers go on.
_PREFILL_STEP = 512
_REMEMBERED_ATTEMPTS = 256


@attrs.frozen
class BatchSettings:
    """Speed of the engine; times in seconds."""

    base_s: float = 0.010
    added_s: float = 0.0005
    prefill_tokens_per_s: float = 8000.0
    max_batch: int = 32
    keepalive_s: float = 0.4


@attrs.define(eq=False)
class Attempt:
    """One attempt on its way through the engine."""

    request: GenerateRequest
    held: HeldModel
    digest: bytes
    prompt_tokens: int
    length: int
    prefill_left: int
    next_index: int
    items: deque[TokenChunk | GenerateEnd] = attrs.field(factory=deque)
    changed: anyio.Event = attrs.field(factory=anyio.Event)
    cancelled: bool = False
    ended: bool = False
    # Time of each decoding step by the settings, without delays of the machine.
    steps_s: list[float] = attrs.field(factory=list)

    def put(self, item: TokenChunk | GenerateEnd) -> None:
        """Hand an item to the stream of this attempt."""
        self.items.append(item)
        self.changed.set()


class Batch:
    """Runs up to ``max_batch`` attempts at once, premium ones first."""

    def __init__(
        self,
        settings: BatchSettings,
        memory: EngineMemory,
        cache: PrefixCache,
        faults: FaultTable,
    ) -> None:
        """Start idle."""
        self._settings = settings
        self._memory = memory
        self._cache = cache
        self._faults = faults
        self._waiting: dict[Priority, deque[Attempt]] = {
            priority: deque() for priority in Priority
        }
        self._running: list[Attempt] = []
        self._attempts: OrderedDict[str, Attempt] = OrderedDict()
        self._imported: OrderedDict[str, bytes] = OrderedDict()
        self._work = anyio.Event()

    @property
    def running(self) -> int:
        """Attempts in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Attempts that wait for a place."""
        return sum(len(queue) for queue in self._waiting.values())

    @property
    def waiting_tokens(self) -> int:
        """Prompt tokens that are not processed yet."""
        queued = (a for queue in self._waiting.values() for a in queue)
        return sum(a.prefill_left for a in (*queued, *self._running))

    def submit(self, request: GenerateRequest, held: HeldModel) -> Attempt:
        """Queue an attempt on a held model."""
        prompt = request.prompt
        subject = (request.model, held.version, request.adapter, prompt)
        digest = answer_digest(*subject)
        prompt_tokens = prompt_token_count(prompt)
        prefill = prompt_tokens + request.resume_from
        cached = self._cache.use(
            request.model, request.adapter, prompt, time.monotonic()
        )
        prefill = max(0, prefill - cached * BLOCK_BYTES // 4)
        kv = self._imported.pop(request.attempt_id, None)
        if kv is not None and self._matches(kv, digest):
            prefill = 0
        attempt = Attempt(
            request=request,
            held=held,
            digest=digest,
            prompt_tokens=prompt_tokens,
            length=answer_length(*subject, request.max_tokens),
            prefill_left=prefill,
            next_index=request.resume_from,
        )
        held.running += 1
        self._attempts[request.attempt_id] = attempt
        while len(self._attempts) > _REMEMBERED_ATTEMPTS:
            oldest, old = self._attempts.popitem(last=False)
            if not old.ended:
                self._attempts[oldest] = old
                break
        self._waiting[request.priority].append(attempt)
        self._work.set()
        return attempt

    def cancel(self, attempt_id: str) -> bool:
        """Cancel an attempt; return ``False`` if it is unknown or has ended."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.ended:
            return False
        attempt.cancelled = True
        self._end(attempt)
        return True

    def export_kv(self, attempt_id: str) -> bytes | None:
        """Return the state of an attempt, or ``None`` if it is gone."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.prefill_left:
            return None
        return orjson.dumps(
            {"digest": attempt.digest.hex(), "tokens": attempt.next_index}
        )

    def import_kv(self, attempt_id: str, data: bytes) -> None:
        """Keep a state for the attempt that will resume with it."""
        self._imported[attempt_id] = data
        while len(self._imported) > _REMEMBERED_ATTEMPTS:
            self._imported.popitem(last=False)

    async def stream(self, attempt: Attempt) -> AsyncIterator[bytes]:
        """Yield server-sent events until the attempt ends; cancel it on exit."""
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
                attempt.changed = anyio.Event()
                with anyio.move_on_after(self._settings.keepalive_s) as patience:
                    await attempt.changed.wait()
                if patience.cancelled_caught:
                    yield b": keepalive\n\n"
        finally:
            if not attempt.ended:
                attempt.cancelled = True
                self._end(attempt)

    async def run(self) -> None:
        """Process the batch step by step until cancelled."""
        while True:
            self._admit()
            if not self._running:
                self._work = anyio.Event()
                await self._work.wait()
                continue
            await self._step()
            await self._faults.running()

    def _admit(self) -> None:
        for priority in (Priority.PREMIUM, Priority.STANDARD):
            queue = self._waiting[priority]
            while queue and len(self._running) < self._settings.max_batch:
                self._running.append(queue.popleft())

    async def _step(self) -> None:
        settings = self._settings
        budget = _PREFILL_STEP
        prefilled: list[tuple[Attempt, int]] = []
        decoding = [a for a in self._running if not a.prefill_left]
        for attempt in self._running:
            part = min(budget, attempt.prefill_left)
            if part:
                prefilled.append((attempt, part))
                budget -= part
        seconds = (_PREFILL_STEP - budget) / settings.prefill_tokens_per_s
        if decoding:
            seconds += settings.base_s + settings.added_s * len(self._running)
        await anyio.sleep(seconds)
        for attempt, part in prefilled:
            attempt.prefill_left -= part
        for attempt in decoding:
            if not attempt.ended:
                attempt.steps_s.append(round(seconds, 4))
                self._decode(attempt)

    def _decode(self, attempt: Attempt) -> None:
        index = attempt.next_index
        if index < attempt.length:
            token = answer_token(attempt.digest, index)
            chunk = TokenChunk(attempt.request.attempt_id, index, (token,))
            attempt.next_index += 1
            attempt.put(chunk)
        if attempt.next_index >= attempt.length:
            self._end(attempt)

    def _end(self, attempt: Attempt) -> None:
        attempt.ended = True
        if attempt in self._running:
            self._running.remove(attempt)
        queue = self._waiting[attempt.request.priority]
        if attempt in queue:
            queue.remove(attempt)
        self._memory.release(attempt.held)
        reason = "stop"
        if attempt.cancelled:
            reason = "cancelled"
        elif attempt.length >= attempt.request.max_tokens:
            reason = "length"
        attempt.put(
            GenerateEnd(
                attempt_id=attempt.request.attempt_id,
                finish_reason=reason,
                prompt_tokens=attempt.prompt_tokens,
                answer_tokens=attempt.next_index,
                load=self.running + self.waiting,
            )
        )

    def _matches(self, kv: bytes, digest: bytes) -> bool:
        try:
            return bool(orjson.loads(kv)["digest"] == digest.hex())
        except (orjson.JSONDecodeError, KeyError, TypeError):
            return False
