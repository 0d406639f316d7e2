"""At-most-once execution of calls, with claims in rows of the table.

Large outcomes are kept in the object store; nodes ask each other about running claims.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol
from uuid import uuid4

import anyio
import attrs
import structlog

from flamingopond_core.at_most_once import (
    Claim,
    ClaimRegistry,
    ClaimState,
    ClaimStep,
    OnceRecord,
    Outcome,
)
from flamingopond_core.enums import RunState
from flamingopond_core.exceptions import (
    FlamingopondError,
    OutcomeUnknownError,
    PlatformError,
    RequestRefusedError,
    TransactionConflictError,
)
from flamingopond_platform.objects import ObjectStore
from flamingopond_platform.service import ServiceResponse
from flamingopond_platform.table import Condition, Table, Write

_log = structlog.get_logger()
MAX_ROW_BODY_BYTES = 16 * 1024
"""Larger bodies are kept in the object store, since rows must be small."""

_POLL_INTERVAL_S = 0.2
_WRITE_RETRY_INTERVAL_S = 1.0

Send = Callable[[], Awaitable[ServiceResponse]]


class ClaimPeers(Protocol):
    """Calls between the nodes."""

    async def call(self, member: str, method: str, **params: Any) -> dict[str, Any]:
        """Call a member; raises ``FlamingopondError`` if it does not reply."""

    def serve(
        self,
        method: str,
        handler: Callable[[dict[str, Any]], Awaitable[Mapping[str, Any]]],
    ) -> None:
        """Register ``handler`` for calls of ``method``."""


class NothingSentError(FlamingopondError):
    """The call was not sent; ``refusal`` is the error for the caller."""

    def __init__(self, refusal: RequestRefusedError) -> None:
        """Store the refusal."""
        self.refusal = refusal
        super().__init__(str(refusal))


@attrs.define
class _ClaimRow:
    """A claim and its row.

    ``version`` is that of the row: 0 if the claim has none, -1 while it is unknown.
    """

    row_key: str
    claim: Claim
    version: int = 0
    body: bytes = b""


class AtMostOnceCalls:
    """Runs the call of an idempotency key at most once in the whole fleet."""

    def __init__(
        self,
        node: str,
        incarnation: int,
        table: Table,
        objects: ObjectStore,
        peers: ClaimPeers,
        *,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Register with ``peers``; rows expire by ``wall_clock``."""
        self._node = node
        self._incarnation = incarnation
        self._table = table
        self._objects = objects
        self._peers = peers
        self._clock = clock
        self._wall_clock = wall_clock
        self._registry = ClaimRegistry()
        self._pending_writes: dict[str, _ClaimRow] = {}
        peers.serve("claimState", self._handle_claim_state)

    async def run_once(
        self, workspace: str, key: str, request_digest: str, send: Send, deadline: float
    ) -> ServiceResponse:
        """Return the response to the only call that runs for ``key``.

        ``request_digest`` is the SHA-256 of the request; a request with the same key
        and another digest is refused.
        ``send`` makes the call. It must raise ``NothingSentError`` if no byte was
        sent; after any other error the outcome counts as unknown.
        """
        claim = Claim(
            uuid4().hex,
            self._node,
            self._incarnation,
            request_digest,
            self._wall_clock(),
        )
        claim_row = _ClaimRow(f"once/{workspace}/{key}", claim)
        self._registry.add(claim)
        try:
            response = await self._acquire_claim(claim_row, workspace, key, deadline)
            if response is not None:
                return response
            # A resent request may wait for the outcome even if this caller has gone.
            with anyio.CancelScope(shield=True):
                response = await self._send_claimed(claim_row, send)
            assert response is not None
            return response
        finally:
            if claim.state is ClaimState.RUNNING:
                # Cancelled before anything was sent.
                claim.nothing_sent()
            if claim.state is ClaimState.NOT_SENT and claim_row.version != 0:
                self._pending_writes[claim.record.claim_id] = claim_row

    async def run(self) -> None:
        """Retry failed writes and deletions of claim rows."""
        while True:
            await anyio.sleep(_WRITE_RETRY_INTERVAL_S)
            for claim_id, claim_row in list(self._pending_writes.items()):
                if await self._write(claim_row):
                    self._pending_writes.pop(claim_id, None)

    async def _acquire_claim(
        self, claim_row: _ClaimRow, workspace: str, key: str, deadline: float
    ) -> ServiceResponse | None:
        """Run the claim's steps.

        Return the recorded response, or ``None`` if this node must send the call.
        """
        claim = claim_row.claim
        existing: OnceRecord | None = None
        step = claim.begin()
        while True:
            match step:
                case ClaimStep.INSERT:
                    step = await self._insert_row(claim_row)
                case ClaimStep.READ | ClaimStep.WAIT:
                    if step is ClaimStep.WAIT:
                        await anyio.sleep(_POLL_INTERVAL_S)
                    if self._clock() > deadline:
                        raise _outcome_unknown("the call is still running")
                    try:
                        rows = await self._table.read([claim_row.row_key])
                    except PlatformError:
                        step = claim.table_unavailable()
                        continue
                    row = rows.get(claim_row.row_key)
                    value = None if row is None else row.value
                    existing = None if value is None else OnceRecord.from_bytes(value)
                    version = 0 if row is None or value is None else row.version
                    step = claim.row_read(existing, version, self._wall_clock())
                    if step is ClaimStep.SEND:
                        claim_row.version = version
                case ClaimStep.QUERY_CLAIMANT:
                    assert existing is not None
                    state, outcome = await self._query_claimant(
                        existing, workspace, key
                    )
                    step = claim.claimant_answered(state)
                    if step is ClaimStep.RETURN and outcome is not None:
                        return await self._load_response(outcome)
                case ClaimStep.RETURN:
                    if existing is None or existing.outcome is None:
                        raise _outcome_unknown("the outcome was not recorded")
                    return await self._load_response(existing.outcome)
                case ClaimStep.SEND:
                    return None
                case ClaimStep.REFUSE_REUSED_KEY:
                    raise RequestRefusedError(
                        "idempotency_key_reused",
                        "the key was used for another request",
                    )
                case ClaimStep.OUTCOME_UNKNOWN:
                    raise _outcome_unknown("it is unknown whether the call ran")
                case ClaimStep.REFUSE:
                    raise RequestRefusedError(
                        "store_unavailable",
                        "the call could not be recorded and was not made",
                        retry_after=1.0,
                    )

    async def _insert_row(self, claim_row: _ClaimRow) -> ClaimStep:
        claim = claim_row.claim
        condition = Condition(claim_row.row_key, claim.expected_version)
        write = Write(claim_row.row_key, claim.record.to_bytes())
        try:
            claim_row.version = await self._table.commit([condition], [write])
        except TransactionConflictError:
            return claim.insert_conflicted()
        except OutcomeUnknownError:
            # If the claim is abandoned, ``run`` deletes the row that may exist.
            claim_row.version = -1
            return claim.insert_lost()
        except PlatformError:
            return claim.table_unavailable()
        return claim.insert_committed()

    async def _query_claimant(
        self, existing: OnceRecord, workspace: str, key: str
    ) -> tuple[ClaimState | None, Outcome | None]:
        if existing.node == self._node:
            return self._registry.answer(existing.claim_id)
        try:
            data = await self._peers.call(
                existing.node,
                "claimState",
                workspace=workspace,
                key=key,
                claimId=existing.claim_id,
            )
        except FlamingopondError:
            return None, None
        outcome = data.get("outcome")
        return (
            ClaimState(str(data["state"])),
            Outcome.from_bytes(outcome) if outcome else None,
        )

    async def _send_claimed(self, claim_row: _ClaimRow, send: Send) -> ServiceResponse:
        claim = claim_row.claim
        if not claim.begin_sending():
            raise _outcome_unknown("the claim was given up")
        try:
            response = await send()
        except NothingSentError as error:
            claim.nothing_sent()
            raise error.refusal from error
        except BaseException:
            claim.reply_broken()
            await self._write_or_defer(claim_row)
            raise
        claim_row.body = response.body
        claim.finished(
            Outcome(response.status, tuple(response.headers.items()), claim_row.body)
        )
        await self._write_or_defer(claim_row)
        return response

    async def _write_or_defer(self, claim_row: _ClaimRow) -> None:
        if not await self._write(claim_row):
            self._pending_writes[claim_row.claim.record.claim_id] = claim_row

    async def _write(self, claim_row: _ClaimRow) -> bool:
        """Write the outcome, or delete the row of an unsent call.

        Return whether no further write is needed.
        """
        record = claim_row.claim.record
        try:
            if claim_row.version <= 0:
                await self._read_version(claim_row)
                if claim_row.version == 0:
                    return True
            write = Write(claim_row.row_key, None)
            if claim_row.claim.state is not ClaimState.NOT_SENT:
                write = Write(claim_row.row_key, await self._encode_record(record))
            await self._table.commit(
                [Condition(claim_row.row_key, claim_row.version)], [write]
            )
        except TransactionConflictError:
            # Other nodes replace the row only after this process has abandoned the
            # claim. If it has not, an earlier write of this process was committed, but
            # its response was lost. In both cases nothing is left to write.
            return True
        except PlatformError as error:
            _log.info(
                "could not write the row of a claim",
                row=claim_row.row_key,
                error=str(error),
            )
            return False
        return True

    async def _read_version(self, claim_row: _ClaimRow) -> None:
        row = (await self._table.read([claim_row.row_key])).get(claim_row.row_key)
        claim_row.version = 0
        if row is not None and row.value is not None:
            existing = OnceRecord.from_bytes(row.value)
            if existing.claim_id == claim_row.claim.record.claim_id:
                claim_row.version = row.version

    async def _encode_record(self, record: OnceRecord) -> bytes:
        """Return the value of the row; a large body is put into the object store."""
        outcome = record.outcome
        if outcome is not None and len(outcome.body) > MAX_ROW_BODY_BYTES:
            name = f"once/{record.claim_id}"
            await self._objects.put(name, outcome.body)
            outcome = attrs.evolve(outcome, body=b"", object_name=name)
            record = attrs.evolve(record, outcome=outcome)
        return record.to_bytes()

    async def _load_response(self, outcome: Outcome) -> ServiceResponse:
        body = outcome.body
        if outcome.object_name:
            try:
                stored = await self._objects.get(outcome.object_name)
            except PlatformError:
                stored = None
            if stored is None:
                raise RequestRefusedError(
                    "outcome_unknown",
                    "the call ran; its recorded reply cannot be read now",
                    RunState.RAN,
                    retry_after=1.0,
                )
            body = stored
        return ServiceResponse(outcome.status, dict(outcome.headers), body)

    async def _handle_claim_state(self, params: dict[str, Any]) -> dict[str, Any]:
        state, outcome = self._registry.answer(params["claimId"])
        data = b"" if outcome is None else outcome.to_bytes()
        return {"state": state.value, "outcome": data}


def _outcome_unknown(message: str) -> RequestRefusedError:
    return RequestRefusedError("outcome_unknown", message, RunState.UNKNOWN)
