"""A session with the operators' interface of a deployment."""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable, Iterator, Sequence
from typing import Any

from flamingopond.adapters import Adapter
from flamingopond.collection import Collection, KeyCollection
from flamingopond.exceptions import (
    ClientError,
    ConflictError,
    InputRefusedError,
    NotFoundError,
    NotSentError,
    OperationUnknownError,
    ReplyLostError,
    UnauthenticatedError,
    UnavailableError,
)
from flamingopond.hooks import Hooks
from flamingopond.structures import (
    Call,
    Committed,
    EventList,
    JsonObject,
    Plan,
    Reply,
)
from flamingopond_core.enums import ObjectKind
from flamingopond_core.findings import Finding
from flamingopond_core.timeline import Event, merge_events

# A change whose reply was lost is settled within this time, in seconds.
SETTLE_LIMIT = 20.0
_SETTLE_RETRY = 0.5


class Session:
    """Calls the nodes in order until one answers; changes take effect once.

    Each change carries an operation id. After a lost reply the outcome is asked
    for by that id, and the same request is sent again if it was not accepted.
    """

    def __init__(
        self,
        nodes: Sequence[str],
        adapter: Adapter,
        *,
        author: str = "operator",
        hooks: Hooks | None = None,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """``nodes`` are addresses such as ``http://10.0.0.1:8082``."""
        if not nodes:
            raise ClientError("no node is given")
        self._nodes = tuple(nodes)
        self._adapter = adapter
        self._author = author
        self._hooks = hooks or Hooks()
        self._clock = clock
        self._sleep = sleep

    def __enter__(self) -> Session:
        """Return the session."""
        return self

    def __exit__(self, *error: object) -> None:
        """Close the connections."""
        self._adapter.close()

    @property
    def contracts(self) -> Collection:
        """Contracts by workspace."""
        return self.objects(ObjectKind.CONTRACT)

    @property
    def keys(self) -> KeyCollection:
        """Keys by key id."""
        return KeyCollection(self)

    @property
    def models(self) -> Collection:
        """Models by name."""
        return self.objects(ObjectKind.MODEL)

    def objects(self, kind: ObjectKind) -> Collection:
        """Return the objects of one kind."""
        return Collection(self, kind)

    def plan(self, text: str, file: str = "input", *, prune: bool = False) -> Plan:
        """Return what applying an INI file would change."""
        query = {"file": file, "prune": str(prune), "dry_run": "true"}
        body = self.read(Call("POST", "apply", query, text.encode()))
        return Plan(body["revision"], tuple(body["differences"]))

    def apply(
        self,
        text: str,
        file: str = "input",
        *,
        prune: bool = False,
        base_revision: int | None = None,
    ) -> Committed | None:
        """Put an INI file in force; ``None`` if it changes nothing."""
        query = {"file": file, "prune": str(prune)}
        call = Call("POST", "apply", query, text.encode())
        body = self.send_change(call, base_revision)
        return committed(body) if "operation_id" in body else None

    def history(self, after: int | None = None, limit: int = 50) -> JsonObject:
        """Return ``revision`` and ``change_sets``, oldest first."""
        query = {"limit": str(limit)}
        if after is not None:
            query["after"] = str(after)
        return self.read(Call("GET", "history", query))

    def operation(self, operation_id: str) -> Committed:
        """Return an accepted operation; raises ``NotFoundError``."""
        return committed(self.read(Call("GET", f"operations/{operation_id}")))

    def status(self) -> JsonObject:
        """Return the status of VMs, targets and models as one node knows it."""
        return self.read(Call("GET", "status"))

    def drain(self, kind: str, name: str) -> JsonObject:
        """Drain a ``vm`` or a ``target``; repeating it does no harm."""
        return self.read(Call("POST", f"drain/{kind}/{name}"))

    def timeline(
        self,
        *,
        request: str | None = None,
        workspace: str | None = None,
        target: str | None = None,
        kinds: Sequence[str] = (),
        after: int = 0,
        limit: int = 1000,
    ) -> EventList:
        """Return the newest events of all daemons in causal order.

        Every given node is asked, so that events are found on both sides of a
        separated network.
        """
        query: dict[str, str | list[str]] = {"after": str(after), "limit": str(limit)}
        for name, value in [
            ("request", request),
            ("workspace", workspace),
            ("target", target),
        ]:
            if value is not None:
                query[name] = value
        if kinds:
            query["kind"] = list(kinds)
        call = Call("GET", "timeline", query)
        histories: list[list[Event]] = []
        unanswered: list[set[str]] = []
        failures: list[str] = []
        for node in self._nodes:
            try:
                body = _checked(self._send(node, call))
            except (NotSentError, ReplyLostError, UnavailableError) as error:
                failures.append(str(error))
                continue
            histories.append([Event(**event) for event in body["events"]])
            unanswered.append(set(body["unanswered"]))
        if not histories:
            raise UnavailableError("; ".join(failures))
        events = [
            {"stamp": e.stamp, "node": e.node, "kind": e.kind, "fields": e.fields}
            for e in merge_events(histories)
        ]
        missing = set.intersection(*unanswered) - {str(e["node"]) for e in events}
        return EventList(tuple(events[-limit:]), tuple(sorted(missing)))

    def read(self, call: Call) -> JsonObject:
        """Send a call that may be repeated; the next node is tried on failure."""
        failures = []
        for node in self._nodes:
            try:
                return _checked(self._send(node, call))
            except (NotSentError, ReplyLostError, UnavailableError) as error:
                failures.append(str(error))
        raise UnavailableError("; ".join(failures))

    def send_change(self, call: Call, base_revision: int | None = None) -> JsonObject:
        """Send a change and return the answer to it, once it is settled."""
        operation_id = uuid.uuid4().hex
        query = {
            **call.query,
            "operation_id": operation_id,
            "author": self._author,
        }
        if base_revision is not None:
            query["base_revision"] = str(base_revision)
        call = Call(call.method, call.path, query, call.body)
        give_up = self._clock() + SETTLE_LIMIT
        lost = False
        while True:
            for attempt in self._attempts(call):
                try:
                    return attempt()
                except (ConflictError, InputRefusedError) as error:
                    # The first request may still be on its way. With a base
                    # revision it fails like this one; without, it may yet be
                    # rebased and accepted.
                    if lost and base_revision is None:
                        raise OperationUnknownError(operation_id) from error
                    raise
                except (NotSentError, UnavailableError) as error:
                    failure: ClientError = error
                except (ReplyLostError, OperationUnknownError) as error:
                    failure = error
                    lost = True
                    # The nodes that follow are asked for the operation first.
                    settled = self._look_up(operation_id)
                    if settled is not None:
                        return settled
            if not lost:
                raise UnavailableError(str(failure))
            if self._clock() >= give_up:
                raise OperationUnknownError(operation_id)
            self._sleep(_SETTLE_RETRY)

    def _attempts(self, call: Call) -> Iterator[Callable[[], JsonObject]]:
        for node in self._nodes:
            yield lambda node=node: _checked(  # type: ignore[misc]
                self._send(node, call)
            )

    def _look_up(self, operation_id: str) -> JsonObject | None:
        try:
            return self.read(Call("GET", f"operations/{operation_id}"))
        except (NotFoundError, UnavailableError):
            return None

    def _send(self, node: str, call: Call) -> Reply:
        self._hooks.call_before(node, call)
        reply = self._adapter.send(node, call)
        self._hooks.call_after(node, call, reply)
        return reply


def committed(body: JsonObject) -> Committed:
    """Read the answer to an accepted change."""
    return Committed(body["revision"], body["operation_id"], body["in_force"])


def _checked(reply: Reply) -> JsonObject:
    if reply.status < 400:
        return reply.body
    error: dict[str, Any] = dict(reply.body.get("error") or {})
    message = str(error.get("message", f"status {reply.status}"))
    match error.get("code"):
        case "unauthenticated":
            raise UnauthenticatedError(message)
        case "invalid_input":
            raise InputRefusedError(
                [Finding(f["place"], f["message"]) for f in error["findings"]]
            )
        case "revision_conflict":
            raise ConflictError(
                error["base_revision"],
                error["current_revision"],
                error["yours"],
                error["theirs"],
            )
        case "not_found":
            raise NotFoundError(message)
        case "store_unavailable":
            raise UnavailableError(message)
        case "outcome_unknown":
            raise OperationUnknownError(error["operation_id"])
    if reply.status >= 500:
        # The change may have been accepted before the failure.
        raise ReplyLostError(f"status {reply.status}: {message}")
    raise ClientError(f"status {reply.status}: {message}")
