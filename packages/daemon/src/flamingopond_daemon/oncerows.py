"""At-most-once execution over the table, the object store and peers."""

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
ROW_BODY_BYTES = 16 * 1024
"""Bodies above this size go to the object store, since rows are small."""

_POLL_S = 0.2
_PERIOD_S = 1.0

Send = Callable[[], Awaitable[ServiceResponse]]


class OncePeers(Protocol):
    """What is needed of the peers."""

    async def call(self, member: str, method: str, **params: Any) -> dict[str, Any]:
        """Call a member; raises a ``FlamingopondError`` if it does not answer."""

    def serve(
        self,
        method: str,
        handler: Callable[[dict[str, Any]], Awaitable[Mapping[str, Any]]],
    ) -> None:
        """Answer calls of ``method``."""


class NothingSentError(FlamingopondError):
    """The call was not sent; ``refusal`` is the answer to the caller."""

    def __init__(self, refusal: RequestRefusedError) -> None:
        """Store the refusal."""
        self.refusal = refusal
        super().__init__(str(refusal))


@attrs.define
class _Entry:
    """A claim with its row; ``version`` is the row's, once it is known."""

    row: str
    claim: Claim
    version: int = 0
    body: bytes = b""


class OnceRows:
    """Runs the call of a key at most once over all nodes."""

    def __init__(
        self,
        node: str,
        incarnation: int,
        table: Table,
        objects: ObjectStore,
        peers: OncePeers,
        *,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Register with ``peers``; ``wall`` is the time by which rows expire."""
        self._node = node
        self._incarnation = incarnation
        self._table = table
        self._objects = objects
        self._peers = peers
        self._clock = clock
        self._wall = wall
        self._ledger = ClaimRegistry()
        self._unwritten: dict[str, _Entry] = {}
        peers.serve("claimState", self._answer_claim_state)

    async def run_once(
        self, workspace: str, key: str, digest: str, send: Send, deadline: float
    ) -> ServiceResponse:
        """Return the reply to the one call that runs for ``key``.

        ``send`` makes the call; it raises ``NothingSentError`` if no byte was sent
        and any other error if the outcome is unknown.
        """
        claim = Claim(uuid4().hex, self._node, self._incarnation, digest, self._wall())
        entry = _Entry(f"once/{workspace}/{key}", claim)
        self._ledger.add(claim)
        try:
            reply = await self._claim(entry, workspace, key, deadline)
            if reply is not None:
                return reply
            # A resend may be waiting for this outcome even if the caller has gone.
            with anyio.CancelScope(shield=True):
                reply = await self._send(entry, send)
            assert reply is not None
            return reply
        finally:
            if claim.state is ClaimState.RUNNING:
                # Cancelled before anything was sent.
                claim.nothing_sent()
            if claim.state is ClaimState.NOT_SENT and entry.version != 0:
                self._unwritten[claim.record.claim_id] = entry

    async def run(self) -> None:
        """Write the rows that could not be written before."""
        while True:
            await anyio.sleep(_PERIOD_S)
            for claim_id, entry in list(self._unwritten.items()):
                if await self._write(entry):
                    self._unwritten.pop(claim_id, None)

    async def _claim(
        self, entry: _Entry, workspace: str, key: str, deadline: float
    ) -> ServiceResponse | None:
        """Follow the claim's steps; ``None`` if this node is to send the call."""
        claim = entry.claim
        found: OnceRecord | None = None
        step = claim.begin()
        while True:
            match step:
                case ClaimStep.INSERT:
                    step = await self._insert(entry)
                case ClaimStep.READ | ClaimStep.WAIT:
                    if step is ClaimStep.WAIT:
                        await anyio.sleep(_POLL_S)
                    if self._clock() > deadline:
                        raise _outcome_unknown("the call is still running")
                    try:
                        rows = await self._table.read([entry.row])
                    except PlatformError:
                        step = claim.table_unavailable()
                        continue
                    row = rows.get(entry.row)
                    value = None if row is None else row.value
                    found = None if value is None else OnceRecord.from_bytes(value)
                    version = 0 if row is None or value is None else row.version
                    step = claim.row_read(found, version, self._wall())
                    if step is ClaimStep.SEND:
                        entry.version = version
                case ClaimStep.ASK:
                    assert found is not None
                    state, outcome = await self._ask(found, workspace, key)
                    step = claim.claimant_answered(state)
                    if step is ClaimStep.RETURN and outcome is not None:
                        return await self._reply(outcome)
                case ClaimStep.RETURN:
                    if found is None or found.outcome is None:
                        raise _outcome_unknown("the outcome was not recorded")
                    return await self._reply(found.outcome)
                case ClaimStep.SEND:
                    return None
                case ClaimStep.REUSED:
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

    async def _insert(self, entry: _Entry) -> ClaimStep:
        claim = entry.claim
        condition = Condition(entry.row, claim.expected_version)
        write = Write(entry.row, claim.record.to_bytes())
        try:
            entry.version = await self._table.commit([condition], [write])
        except TransactionConflictError:
            return claim.insert_conflicted()
        except OutcomeUnknownError:
            # If the claim is given up, the row that may exist is cleaned up later.
            entry.version = -1
            return claim.insert_lost()
        except PlatformError:
            return claim.table_unavailable()
        return claim.insert_committed()

    async def _ask(
        self, found: OnceRecord, workspace: str, key: str
    ) -> tuple[ClaimState | None, Outcome | None]:
        if found.node == self._node:
            return self._ledger.answer(found.claim_id)
        try:
            data = await self._peers.call(
                found.node,
                "claimState",
                workspace=workspace,
                key=key,
                claimId=found.claim_id,
            )
        except FlamingopondError:
            return None, None
        outcome = data.get("outcome")
        return (
            ClaimState(str(data["state"])),
            Outcome.from_bytes(outcome) if outcome else None,
        )

    async def _send(self, entry: _Entry, send: Send) -> ServiceResponse:
        claim = entry.claim
        if not claim.begin_sending():
            raise _outcome_unknown("the claim was given up")
        try:
            reply = await send()
        except NothingSentError as error:
            claim.nothing_sent()
            raise error.refusal from error
        except BaseException:
            claim.reply_broken()
            await self._write_soon(entry)
            raise
        entry.body = reply.body
        claim.finished(Outcome(reply.status, tuple(reply.headers.items()), entry.body))
        await self._write_soon(entry)
        return reply

    async def _write_soon(self, entry: _Entry) -> None:
        if not await self._write(entry):
            self._unwritten[entry.claim.record.claim_id] = entry

    async def _write(self, entry: _Entry) -> bool:
        """Write the claim's end; return whether nothing is left to do."""
        record = entry.claim.record
        try:
            if entry.version <= 0:
                await self._find_version(entry)
                if entry.version == 0:
                    return True
            write = Write(entry.row, None)
            if entry.claim.state is not ClaimState.NOT_SENT:
                write = Write(entry.row, await self._stored(record))
            await self._table.commit([Condition(entry.row, entry.version)], [write])
        except TransactionConflictError:
            # Only this process writes a row with its claim, unless it gave the
            # claim up; so an earlier write with a lost reply took effect.
            return True
        except PlatformError as error:
            _log.info("row was not written", row=entry.row, error=str(error))
            return False
        return True

    async def _find_version(self, entry: _Entry) -> None:
        row = (await self._table.read([entry.row])).get(entry.row)
        entry.version = 0
        if row is not None and row.value is not None:
            found = OnceRecord.from_bytes(row.value)
            if found.claim_id == entry.claim.record.claim_id:
                entry.version = row.version

    async def _stored(self, record: OnceRecord) -> bytes:
        """Return the row's value, with a large body put into the object store."""
        outcome = record.outcome
        if outcome is not None and len(outcome.body) > ROW_BODY_BYTES:
            name = f"once/{record.claim_id}"
            await self._objects.put(name, outcome.body)
            outcome = attrs.evolve(outcome, body=b"", object_name=name)
            record = attrs.evolve(record, outcome=outcome)
        return record.to_bytes()

    async def _reply(self, outcome: Outcome) -> ServiceResponse:
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

    async def _answer_claim_state(self, params: dict[str, Any]) -> dict[str, Any]:
        state, outcome = self._ledger.answer(params["claimId"])
        data = b"" if outcome is None else outcome.to_bytes()
        return {"state": state.value, "outcome": data}


def _outcome_unknown(message: str) -> RequestRefusedError:
    return RequestRefusedError("outcome_unknown", message, RunState.UNKNOWN)
