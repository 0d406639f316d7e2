"""The operators' HTTP interface under ``/operator/v1/``, and ``/metrics``."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Mount, Route
from starlette.types import ASGIApp, Receive, Scope, Send

from flamingopond_core import keys
from flamingopond_core.configuration import Configuration
from flamingopond_core.enums import ObjectKind
from flamingopond_core.exceptions import (
    FlamingopondError,
    InvalidInputError,
    PlatformUnavailableError,
)
from flamingopond_core.findings import Finding
from flamingopond_core.ini_format import Difference
from flamingopond_core.objects import CONVERTER, to_fields
from flamingopond_daemon.operatorchanges import (
    Build,
    ChangeOutcome,
    ChangeRequest,
    ConfigurationChanger,
    build_caught_up,
    build_create,
    build_end,
    build_rotation,
    build_update,
    commit,
    differences_of,
    find_repeated,
    take_digest,
)
from flamingopond_daemon.operatorsources import (
    Drainer,
    MetricsSource,
    StatusSource,
    TimelineQuery,
    TimelineSource,
)

PREFIX = "/operator/v1"
# An INI file of the design size has about 1 MB.
_BODY_LIMIT = 8 * 1024 * 1024
_HISTORY_LIMIT = 1000
_TIMELINE_LIMIT = 10_000
_YES = frozenset({"1", "true", "yes"})


class OperatorsApp:
    """Builds the Starlette app from the subsystems that it shows and changes."""

    def __init__(
        self,
        node: str,
        sync: ConfigurationChanger,
        status: StatusSource,
        drainer: Drainer,
        timeline: TimelineSource,
        metrics: MetricsSource,
        operator_key_digest: str,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Store what the handlers need."""
        self._node = node
        self._sync = sync
        self._status = status
        self._drainer = drainer
        self._timeline = timeline
        self._metrics = metrics
        self._digest = operator_key_digest
        self._clock = clock

    def build(self) -> Starlette:
        """Return the app."""
        routes = [
            Route("/apply", self._apply, methods=["POST"]),
            Route("/history", self._history),
            Route("/operations/{operation_id}", self._operation),
            Route("/status", self._show_status),
            Route("/timeline", self._show_timeline),
            Route("/drain/{kind}/{name}", self._drain, methods=["POST"]),
            Route("/keys/{name}", self._grant, methods=["POST"]),
            Route("/keys/{name}/rotate", self._rotate, methods=["POST"]),
        ]
        for kind in ObjectKind:
            base = f"/{kind.value}s"
            routes += [
                Route(base, self._bind(self._list, kind)),
                Route(base + "/{name}", self._bind(self._show, kind)),
                Route(
                    base + "/{name}", self._bind(self._create, kind), methods=["POST"]
                ),
                Route(
                    base + "/{name}", self._bind(self._update, kind), methods=["PATCH"]
                ),
                Route(
                    base + "/{name}", self._bind(self._end, kind), methods=["DELETE"]
                ),
            ]
        operators = Mount(
            PREFIX,
            routes=routes,
            middleware=[Middleware(_RequireKey, digest=self._digest)],
        )
        return Starlette(
            routes=[operators, Route("/metrics", self._show_metrics)],
            exception_handlers={
                InvalidInputError: _answer_findings,
                FlamingopondError: _answer_failure,
                HTTPException: _answer_http,
            },
        )

    @staticmethod
    def _bind(
        handler: Callable[[Request, ObjectKind], Awaitable[Response]], kind: ObjectKind
    ) -> Callable[[Request], Awaitable[Response]]:
        async def endpoint(request: Request) -> Response:
            return await handler(request, kind)

        return endpoint

    async def _list(self, request: Request, kind: ObjectKind) -> Response:
        configuration = self._sync.configuration
        workspace = request.query_params.get("workspace")
        objects = [
            to_fields(value)
            for _, value in sorted(configuration.objects(kind).items())
            if workspace in (None, getattr(value, "workspace", None))
        ]
        return _json({"revision": configuration.revision, "objects": objects})

    async def _show(self, request: Request, kind: ObjectKind) -> Response:
        configuration = self._sync.configuration
        name = request.path_params["name"]
        value = configuration.objects(kind).get(name)
        if value is None:
            raise HTTPException(404, f"there is no {kind.value} {name!r}")
        return _json({"revision": configuration.revision, "object": to_fields(value)})

    async def _create(self, request: Request, kind: ObjectKind) -> Response:
        fields = await _read_fields(request)
        build = build_create(kind, request.path_params["name"], fields)
        return await self._commit(request, build)

    async def _update(self, request: Request, kind: ObjectKind) -> Response:
        fields = await _read_fields(request)
        build = build_update(kind, request.path_params["name"], fields)
        return await self._commit(request, build)

    async def _end(self, request: Request, kind: ObjectKind) -> Response:
        with_keys = _flag(request, "with_keys") and kind is ObjectKind.CONTRACT
        build = build_end(kind, request.path_params["name"], with_keys=with_keys)
        return await self._commit(request, build)

    async def _grant(self, request: Request) -> Response:
        fields, secret = take_digest(await _read_fields(request))
        build = build_create(ObjectKind.KEY, request.path_params["name"], fields)
        return await self._commit(request, build, secret)

    async def _rotate(self, request: Request) -> Response:
        fields, secret = take_digest(await _read_fields(request))
        unknown = sorted(fields.keys() - {"digest"})
        if unknown:
            raise InvalidInputError([Finding(f, "unknown key") for f in unknown])
        build = build_rotation(request.path_params["name"], str(fields["digest"]))
        return await self._commit(request, build, secret)

    async def _apply(self, request: Request) -> Response:
        try:
            text = (await _read_body(request)).decode()
        except UnicodeDecodeError as error:
            raise InvalidInputError([Finding("body", str(error))]) from None
        file = request.query_params.get("file", "input")
        prune = _flag(request, "prune")

        def compare(configuration: Configuration) -> tuple[Difference, ...]:
            return differences_of(configuration, text, file, prune=prune)

        change_request = await self._read_request(request)
        repeated = await find_repeated(self._sync, change_request)
        if repeated is not None:
            return _answer_outcome(repeated, None)
        differences = await build_caught_up(self._sync, compare)
        if _flag(request, "dry_run") or not differences:
            revision = self._sync.configuration.revision
            shown = [_show_difference(difference) for difference in differences]
            return _json({"revision": revision, "differences": shown})
        return await self._commit(
            request,
            lambda present: [difference.change for difference in compare(present)],
        )

    async def _history(self, request: Request) -> Response:
        limit = min(_number(request, "limit", 50), _HISTORY_LIMIT)
        revision = self._sync.configuration.revision
        after = _number(request, "after", max(revision - limit, 0))
        change_sets = await self._sync.history(after, limit)
        entries = [CONVERTER.unstructure(change_set) for change_set in change_sets]
        return _json({"revision": revision, "change_sets": entries})

    async def _operation(self, request: Request) -> Response:
        operation_id = request.path_params["operation_id"]
        revision = await self._sync.operation(operation_id)
        if revision is None:
            raise HTTPException(404, f"operation {operation_id!r} was not accepted")
        in_force = await self._sync.wait_in_force(revision)
        return _json(
            {"operation_id": operation_id, "revision": revision, "in_force": in_force}
        )

    async def _show_status(self, request: Request) -> Response:
        now = self._clock()
        return _json(
            {
                "node": self._node,
                "revision": self._sync.configuration.revision,
                "fresh": self._sync.fresh(now),
                "serving": self._sync.serving(now),
                **self._status.status(now),
            }
        )

    async def _drain(self, request: Request) -> Response:
        kind, name = request.path_params["kind"], request.path_params["name"]
        if kind not in ("vm", "target"):
            raise InvalidInputError([Finding("kind", f"not vm or target: {kind!r}")])
        return _json(dict(await self._drainer.drain(kind, name)))

    async def _show_timeline(self, request: Request) -> Response:
        params = request.query_params
        query = TimelineQuery(
            params.get("request"),
            params.get("workspace"),
            params.get("target"),
            tuple(params.getlist("kind")),
            _number(request, "after", 0),
            min(_number(request, "limit", 1000), _TIMELINE_LIMIT),
        )
        events, silent = await self._timeline.collect(query)
        return _json({"events": list(events), "unanswered": list(silent)})

    async def _show_metrics(self, request: Request) -> Response:
        return Response(
            self._metrics.render(),
            media_type="text/plain; version=0.0.4; charset=utf-8",
        )

    async def _commit(
        self, request: Request, build: Build, secret: str | None = None
    ) -> Response:
        change_request = await self._read_request(request)
        outcome = await commit(self._sync, change_request, build)
        return _answer_outcome(outcome, secret)

    @staticmethod
    async def _read_request(request: Request) -> ChangeRequest:
        body = await _read_body(request)
        return ChangeRequest.from_query(
            request.query_params, request.method, request.url.path, body
        )


class _RequireKey:
    """Lets only requests with the operator's key pass."""

    def __init__(self, app: ASGIApp, digest: str) -> None:
        self._app = app
        self._digest = digest

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        authorization = Request(scope).headers.get("authorization", "")
        scheme, _, token = authorization.partition(" ")
        if scheme.lower() == "bearer" and keys.matches(token.strip(), self._digest):
            await self._app(scope, receive, send)
            return
        response = _error(401, "unauthenticated", "the operator's key is required")
        response.headers["WWW-Authenticate"] = "Bearer"
        await response(scope, receive, send)


def _answer_outcome(outcome: ChangeOutcome, secret: str | None) -> Response:
    result = outcome.result
    operation_id = outcome.request.operation_id
    yours = [CONVERTER.unstructure(change) for change in outcome.changes]
    if result.unknown:
        return _error(
            504,
            "outcome_unknown",
            "the table did not answer; ask for the operation later",
            operation_id=operation_id,
        )
    if result.change_set is None:
        return _error(
            409,
            "revision_conflict",
            f"the change is based on revision {result.base_revision}, "
            f"the present one is {result.revision}",
            base_revision=result.base_revision,
            current_revision=result.revision,
            yours=yours,
            theirs=[CONVERTER.unstructure(other) for other in result.between],
        )
    answer: dict[str, Any] = {
        "revision": result.revision,
        "operation_id": operation_id,
        "in_force": outcome.in_force,
        "changes": yours,
    }
    # A request that was accepted before has the digest of another secret.
    if secret and any(
        getattr(change.value, "digest", None) == keys.digest_of(secret)
        for change in result.change_set.changes
    ):
        answer["secret"] = secret
    return _json(answer)


def _show_difference(difference: Difference) -> dict[str, Any]:
    return {
        "kind": difference.kind.value,
        "name": difference.name,
        "before": difference.before and to_fields(difference.before),
        "after": difference.after and to_fields(difference.after),
    }


async def _read_body(request: Request) -> bytes:
    length = request.headers.get("content-length", "0")
    if not length.isdecimal() or int(length) > _BODY_LIMIT:
        raise HTTPException(413, "the body is too large")
    body = await request.body()
    if len(body) > _BODY_LIMIT:
        raise HTTPException(413, "the body is too large")
    return body


async def _read_fields(request: Request) -> dict[str, object]:
    body = await _read_body(request)
    try:
        fields = orjson.loads(body or b"{}")
    except orjson.JSONDecodeError as error:
        raise InvalidInputError([Finding("body", str(error))]) from None
    if not isinstance(fields, dict):
        raise InvalidInputError([Finding("body", "must be a JSON object")])
    return fields


def _number(request: Request, name: str, default: int) -> int:
    text = request.query_params.get(name, str(default))
    if not text.isdecimal():
        raise InvalidInputError([Finding(name, f"not a number: {text!r}")])
    return int(text)


def _flag(request: Request, name: str) -> bool:
    return request.query_params.get(name, "").lower() in _YES


def _json(content: object, status: int = 200) -> Response:
    return Response(orjson.dumps(content), status, media_type="application/json")


def _error(status: int, code: str, message: str, **details: Any) -> Response:
    return _json({"error": {"code": code, "message": message, **details}}, status)


async def _answer_findings(request: Request, error: Exception) -> Response:
    assert isinstance(error, InvalidInputError)
    findings = [{"place": f.place, "message": f.message} for f in error.findings]
    return _error(422, "invalid_input", "nothing was changed", findings=findings)


async def _answer_failure(request: Request, error: Exception) -> Response:
    unavailable = isinstance(error, PlatformUnavailableError)
    code = "store_unavailable" if unavailable else "failed"
    return _error(503 if unavailable else 500, code, str(error))


async def _answer_http(request: Request, error: Exception) -> Response:
    assert isinstance(error, HTTPException)
    code = "not_found" if error.status_code == 404 else "invalid_request"
    return _error(error.status_code, code, error.detail)
