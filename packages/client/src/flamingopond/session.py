"""Session with the operator API of a deployment."""

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
    ResponseLostError,
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
    Response,
)
from flamingopond_core.enums import ObjectKind
from flamingopond_core.findings import Finding
from flamingopond_core.timeline import Event, merge_events

# After a lost response, the outcome of a change is looked up for this long.
OUTCOME_TIMEOUT_S = 20.0
_OUTCOME_RETRY_S = 0.5


class Session:
    """Calls the nodes in order until one responds; a change takes effect once.

    Each change carries an operation id. If a response is lost, the outcome is
    looked up by that id, and the same request is retried if it was not accepted.
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
            raise ClientError("at least one node address is required")
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
        """Close all connections."""
        self._adapter.close()

    @property
    def contracts(self) -> Collection:
        """Contracts, named by workspace."""
        return self.objects(ObjectKind.CONTRACT)

    @property
    def keys(self) -> KeyCollection:
        """Keys, named by key id."""
        return KeyCollection(self)

    @property
    def models(self) -> Collection:
        """Models, by name."""
        return self.objects(ObjectKind.MODEL)

    def objects(self, kind: ObjectKind) -> Collection:
        """Return the objects of one kind."""
        return Collection(self, kind)

    def plan(self, text: str, file: str = "input", *, prune: bool = False) -> Plan:
        """Return the changes that applying an INI file would make."""
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
        """Apply an INI file; return ``None`` if it changes nothing."""
        query = {"file": file, "prune": str(prune)}
        call = Call("POST", "apply", query, text.encode())
        body = self.send_change(call, base_revision)
        return parse_committed(body) if "operation_id" in body else None

    def history(self, after: int | None = None, limit: int = 50) -> JsonObject:
        """Return a dict with ``revision`` and ``change_sets``, oldest first."""
        query = {"limit": str(limit)}
        if after is not None:
            query["after"] = str(after)
        return self.read(Call("GET", "history", query))

    def operation(self, operation_id: str) -> Committed:
        """Return an accepted operation. Raises ``NotFoundError``."""
        return parse_committed(self.read(Call("GET", f"operations/{operation_id}")))

    def status(self) -> JsonObject:
        """Return the status of VMs, targets and models as known to one node."""
        return self.read(Call("GET", "status"))

    def drain(self, kind: str, name: str) -> JsonObject:
        """Drain a ``vm`` or a ``target``; the call is idempotent."""
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

        Every node of the session is called, so that events from both sides of a
        network partition are found.
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
        event_lists: list[list[Event]] = []
        unanswered: list[set[str]] = []
        failures: list[str] = []
        for node in self._nodes:
            try:
                body = _parse_response(self._send(node, call))
            except (NotSentError, ResponseLostError, UnavailableError) as error:
                failures.append(str(error))
                continue
            event_lists.append([Event(**event) for event in body["events"]])
            unanswered.append(set(body["unanswered"]))
        if not event_lists:
            raise UnavailableError("; ".join(failures))
        events = [
            {"stamp": e.stamp, "node": e.node, "kind": e.kind, "fields": e.fields}
            for e in merge_events(event_lists)
        ]
        unanswered_by_all = set.intersection(*unanswered) - {
            str(e["node"]) for e in events
        }
        return EventList(tuple(events[-limit:]), tuple(sorted(unanswered_by_all)))

    def read(self, call: Call) -> JsonObject:
        """Send an idempotent call; on failure, the next node is tried."""
        failures = []
        for node in self._nodes:
            try:
                return _parse_response(self._send(node, call))
            except (NotSentError, ResponseLostError, UnavailableError) as error:
                failures.append(str(error))
        raise UnavailableError("; ".join(failures))

    def send_change(self, call: Call, base_revision: int | None = None) -> JsonObject:
        """Send a change and return the response once the outcome is known.

        Raises ``UnavailableError`` if the change was not made, and
        ``OperationUnknownError`` if its outcome stays unknown.
        """
        operation_id = uuid.uuid4().hex
        query = {
            **call.query,
            "operation_id": operation_id,
            "author": self._author,
        }
        if base_revision is not None:
            query["base_revision"] = str(base_revision)
        call = Call(call.method, call.path, query, call.body)
        deadline = self._clock() + OUTCOME_TIMEOUT_S
        response_lost = False
        while True:
            for attempt in self._attempts_by_node(call):
                try:
                    return attempt()
                except (ConflictError, InputRefusedError) as error:
                    # An earlier request may still be in flight. With a base revision
                    # it fails like this one; without one, it may yet be rebased
                    # and accepted.
                    if response_lost and base_revision is None:
                        raise OperationUnknownError(operation_id) from error
                    raise
                except (NotSentError, UnavailableError) as error:
                    failure: ClientError = error
                except (ResponseLostError, OperationUnknownError) as error:
                    failure = error
                    response_lost = True
                    # Look up the outcome before the next node gets the change.
                    result = self._look_up_operation(operation_id)
                    if result is not None:
                        return result
            if not response_lost:
                raise UnavailableError(str(failure))
            if self._clock() >= deadline:
                raise OperationUnknownError(operation_id)
            self._sleep(_OUTCOME_RETRY_S)

    def _attempts_by_node(self, call: Call) -> Iterator[Callable[[], JsonObject]]:
        for node in self._nodes:
            yield lambda node=node: _parse_response(  # type: ignore[misc]
                self._send(node, call)
            )

    def _look_up_operation(self, operation_id: str) -> JsonObject | None:
        try:
            return self.read(Call("GET", f"operations/{operation_id}"))
        except (NotFoundError, UnavailableError):
            return None

    def _send(self, node: str, call: Call) -> Response:
        self._hooks.call_before(node, call)
        response = self._adapter.send(node, call)
        self._hooks.call_after(node, call, response)
        return response


def parse_committed(body: JsonObject) -> Committed:
    """Decode the response to an accepted change."""
    return Committed(body["revision"], body["operation_id"], body["in_force"])


def _parse_response(response: Response) -> JsonObject:
    if response.status < 400:
        return response.body
    error: dict[str, Any] = dict(response.body.get("error") or {})
    message = str(error.get("message", f"status {response.status}"))
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
    if response.status >= 500:
        # The change may have been accepted before the failure.
        raise ResponseLostError(f"status {response.status}: {message}")
    raise ClientError(f"status {response.status}: {message}")
