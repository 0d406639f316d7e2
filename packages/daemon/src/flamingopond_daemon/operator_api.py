"""The HTTP API for operators under ``/operator/v1/``, and ``/metrics``."""

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
from flamingopond_daemon.operator_changes import (
    Build,
    ChangeOutcome,
    ChangeRequest,
    ReplicatedConfiguration,
    build_create,
    build_deletion,
    build_rotation,
    build_update,
    build_with_refresh,
    commit,
    compute_differences,
    ensure_digest,
    find_earlier_outcome,
)
from flamingopond_daemon.operator_subsystems import (
    Drainer,
    MetricsSource,
    StatusSource,
    TimelineQuery,
    TimelineSource,
)

PREFIX = "/operator/v1"
# An INI file for the largest supported fleet has about 1 MB.
_MAX_BODY_BYTES = 8 * 1024 * 1024
_HISTORY_LIMIT = 1000
_TIMELINE_LIMIT = 10_000
_TRUE_VALUES = frozenset({"1", "true", "yes"})


class OperatorApi:
    """Builds the Starlette app of the operators' API."""

    def __init__(
        self,
        node: str,
        sync: ReplicatedConfiguration,
        status: StatusSource,
        drainer: Drainer,
        timeline: TimelineSource,
        metrics: MetricsSource,
        operator_key_digest: str,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Store the subsystems that the handlers use.

        ``operator_key_digest`` is the digest of the key that requests must carry.
        """
        self._node = node
        self._sync = sync
        self._status = status
        self._drainer = drainer
        self._timeline = timeline
        self._metrics = metrics
        self._key_digest = operator_key_digest
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
            Route("/keys/{name}", self._create_key, methods=["POST"]),
            Route("/keys/{name}/rotate", self._rotate_key, methods=["POST"]),
        ]
        for kind in ObjectKind:
            base = f"/{kind.value}s"
            routes += [
                Route(base, self._bind(self._list_objects, kind)),
                Route(base + "/{name}", self._bind(self._show_object, kind)),
                Route(
                    base + "/{name}",
                    self._bind(self._create_object, kind),
                    methods=["POST"],
                ),
                Route(
                    base + "/{name}",
                    self._bind(self._update_object, kind),
                    methods=["PATCH"],
                ),
                Route(
                    base + "/{name}",
                    self._bind(self._delete_object, kind),
                    methods=["DELETE"],
                ),
            ]
        operators = Mount(
            PREFIX,
            routes=routes,
            middleware=[Middleware(_RequireOperatorKey, digest=self._key_digest)],
        )
        return Starlette(
            routes=[operators, Route("/metrics", self._show_metrics)],
            exception_handlers={
                InvalidInputError: _findings_response,
                FlamingopondError: _failure_response,
                HTTPException: _http_error_response,
            },
        )

    @staticmethod
    def _bind(
        handler: Callable[[Request, ObjectKind], Awaitable[Response]], kind: ObjectKind
    ) -> Callable[[Request], Awaitable[Response]]:
        async def endpoint(request: Request) -> Response:
            return await handler(request, kind)

        return endpoint

    async def _list_objects(self, request: Request, kind: ObjectKind) -> Response:
        configuration = self._sync.configuration
        workspace = request.query_params.get("workspace")
        objects = [
            to_fields(value)
            for _, value in sorted(configuration.objects(kind).items())
            if workspace in (None, getattr(value, "workspace", None))
        ]
        return _json_response({"revision": configuration.revision, "objects": objects})

    async def _show_object(self, request: Request, kind: ObjectKind) -> Response:
        configuration = self._sync.configuration
        name = request.path_params["name"]
        value = configuration.objects(kind).get(name)
        if value is None:
            raise HTTPException(404, f"there is no {kind.value} {name!r}")
        return _json_response(
            {"revision": configuration.revision, "object": to_fields(value)}
        )

    async def _create_object(self, request: Request, kind: ObjectKind) -> Response:
        fields = await _read_fields(request)
        build = build_create(kind, request.path_params["name"], fields)
        return await self._commit(request, build)

    async def _update_object(self, request: Request, kind: ObjectKind) -> Response:
        fields = await _read_fields(request)
        build = build_update(kind, request.path_params["name"], fields)
        return await self._commit(request, build)

    async def _delete_object(self, request: Request, kind: ObjectKind) -> Response:
        with_keys = _read_flag(request, "with_keys") and kind is ObjectKind.CONTRACT
        build = build_deletion(kind, request.path_params["name"], with_keys=with_keys)
        return await self._commit(request, build)

    async def _create_key(self, request: Request) -> Response:
        fields, secret = ensure_digest(await _read_fields(request))
        build = build_create(ObjectKind.KEY, request.path_params["name"], fields)
        return await self._commit(request, build, secret)

    async def _rotate_key(self, request: Request) -> Response:
        fields, secret = ensure_digest(await _read_fields(request))
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
        prune = _read_flag(request, "prune")

        def compare(configuration: Configuration) -> tuple[Difference, ...]:
            return compute_differences(configuration, text, file, prune=prune)

        change_request = await self._read_request(request)
        earlier_outcome = await find_earlier_outcome(self._sync, change_request)
        if earlier_outcome is not None:
            return _outcome_response(earlier_outcome, None)
        differences = await build_with_refresh(self._sync, compare)
        if _read_flag(request, "dry_run") or not differences:
            revision = self._sync.configuration.revision
            entries = [_difference_fields(difference) for difference in differences]
            return _json_response({"revision": revision, "differences": entries})
        return await self._commit(
            request,
            lambda configuration: [
                difference.change for difference in compare(configuration)
            ],
        )

    async def _history(self, request: Request) -> Response:
        limit = min(_read_int(request, "limit", 50), _HISTORY_LIMIT)
        revision = self._sync.configuration.revision
        after = _read_int(request, "after", max(revision - limit, 0))
        change_sets = await self._sync.history(after, limit)
        entries = [CONVERTER.unstructure(change_set) for change_set in change_sets]
        return _json_response({"revision": revision, "change_sets": entries})

    async def _operation(self, request: Request) -> Response:
        operation_id = request.path_params["operation_id"]
        revision = await self._sync.find_operation(operation_id)
        if revision is None:
            raise HTTPException(404, f"operation {operation_id!r} was not accepted")
        in_force = await self._sync.wait_in_force(revision)
        return _json_response(
            {"operation_id": operation_id, "revision": revision, "in_force": in_force}
        )

    async def _show_status(self, request: Request) -> Response:
        now = self._clock()
        return _json_response(
            {
                "node": self._node,
                "revision": self._sync.configuration.revision,
                "fresh": self._sync.is_fresh(now),
                "serving": self._sync.may_serve(now),
                **self._status.status(now),
            }
        )

    async def _drain(self, request: Request) -> Response:
        kind, name = request.path_params["kind"], request.path_params["name"]
        if kind not in ("vm", "target"):
            raise InvalidInputError([Finding("kind", f"not vm or target: {kind!r}")])
        return _json_response(dict(await self._drainer.drain(kind, name)))

    async def _show_timeline(self, request: Request) -> Response:
        params = request.query_params
        query = TimelineQuery(
            params.get("request"),
            params.get("workspace"),
            params.get("target"),
            tuple(params.getlist("kind")),
            _read_int(request, "after", 0),
            min(_read_int(request, "limit", 1000), _TIMELINE_LIMIT),
        )
        events, unanswered = await self._timeline.collect(query)
        return _json_response({"events": list(events), "unanswered": list(unanswered)})

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
        return _outcome_response(outcome, secret)

    @staticmethod
    async def _read_request(request: Request) -> ChangeRequest:
        body = await _read_body(request)
        return ChangeRequest.from_query(
            request.query_params, request.method, request.url.path, body
        )


class _RequireOperatorKey:
    """Middleware that rejects requests without the operator's key."""

    def __init__(self, app: ASGIApp, digest: str) -> None:
        self._app = app
        self._key_digest = digest

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        authorization = Request(scope).headers.get("authorization", "")
        scheme, _, token = authorization.partition(" ")
        if scheme.lower() == "bearer" and keys.matches(token.strip(), self._key_digest):
            await self._app(scope, receive, send)
            return
        response = _error_response(
            401, "unauthenticated", "the operator's key is required"
        )
        response.headers["WWW-Authenticate"] = "Bearer"
        await response(scope, receive, send)


def _outcome_response(outcome: ChangeOutcome, secret: str | None) -> Response:
    result = outcome.result
    operation_id = outcome.request.operation_id
    yours = [CONVERTER.unstructure(change) for change in outcome.changes]
    if result.outcome_unknown:
        return _error_response(
            504,
            "outcome_unknown",
            "the table did not answer; ask for the operation later",
            operation_id=operation_id,
        )
    if result.change_set is None:
        return _error_response(
            409,
            "revision_conflict",
            f"the change is based on revision {result.base_revision}, "
            f"the present one is {result.revision}",
            base_revision=result.base_revision,
            current_revision=result.revision,
            yours=yours,
            theirs=[CONVERTER.unstructure(other) for other in result.conflicts],
        )
    content: dict[str, Any] = {
        "revision": result.revision,
        "operation_id": operation_id,
        "in_force": outcome.in_force,
        "changes": yours,
    }
    # A repeated request generates another secret than the accepted one, which must
    # not be returned.
    if secret and any(
        getattr(change.value, "digest", None) == keys.digest_of(secret)
        for change in result.change_set.changes
    ):
        content["secret"] = secret
    return _json_response(content)


def _difference_fields(difference: Difference) -> dict[str, Any]:
    return {
        "kind": difference.kind.value,
        "name": difference.name,
        "before": difference.before and to_fields(difference.before),
        "after": difference.after and to_fields(difference.after),
    }


async def _read_body(request: Request) -> bytes:
    length = request.headers.get("content-length", "0")
    if not length.isdecimal() or int(length) > _MAX_BODY_BYTES:
        raise HTTPException(413, "the body is too large")
    body = await request.body()
    if len(body) > _MAX_BODY_BYTES:
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


def _read_int(request: Request, name: str, default: int) -> int:
    text = request.query_params.get(name, str(default))
    if not text.isdecimal():
        raise InvalidInputError([Finding(name, f"not a number: {text!r}")])
    return int(text)


def _read_flag(request: Request, name: str) -> bool:
    return request.query_params.get(name, "").lower() in _TRUE_VALUES


def _json_response(content: object, status: int = 200) -> Response:
    return Response(orjson.dumps(content), status, media_type="application/json")


def _error_response(status: int, code: str, message: str, **details: Any) -> Response:
    return _json_response(
        {"error": {"code": code, "message": message, **details}}, status
    )


async def _findings_response(request: Request, error: Exception) -> Response:
    assert isinstance(error, InvalidInputError)
    findings = [{"place": f.place, "message": f.message} for f in error.findings]
    return _error_response(
        422, "invalid_input", "nothing was changed", findings=findings
    )


async def _failure_response(request: Request, error: Exception) -> Response:
    unavailable = isinstance(error, PlatformUnavailableError)
    code = "store_unavailable" if unavailable else "failed"
    return _error_response(503 if unavailable else 500, code, str(error))


async def _http_error_response(request: Request, error: Exception) -> Response:
    assert isinstance(error, HTTPException)
    code = "not_found" if error.status_code == 404 else "invalid_request"
    return _error_response(error.status_code, code, error.detail)
