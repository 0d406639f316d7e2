"""The HTTP API for callers: model requests, service calls and health checks."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from fnmatch import fnmatchcase
from uuid import uuid4

import anyio
import orjson
import structlog
from starlette.applications import Starlette
from starlette.routing import Mount, Route
from starlette.types import Receive, Scope, Send

from flamingopond_core.configuration import Configuration, Contract, Key, ObjectId
from flamingopond_core.enums import ObjectKind, RunState
from flamingopond_core.exceptions import RequestRefusedError
from flamingopond_core.suspicion import fingerprint
from flamingopond_daemon.exchange import CallerDisconnectedError, Exchange
from flamingopond_daemon.interfaces import (
    ConfigurationSource,
    ModelDispatcher,
    ServiceCaller,
)
from flamingopond_daemon.metrics import Metrics
from flamingopond_daemon.requests import (
    MAX_BODY_BYTES,
    ModelBody,
    ModelRequest,
    estimate_tokens,
    limit_answer_tokens,
    parse_body,
)
from flamingopond_daemon.responses import (
    JSON_TYPE,
    STREAM_HEADERS,
    CompletionEncoder,
    internal_error,
)
from flamingopond_daemon.service_requests import build_service_request

_log = structlog.get_logger()
_CHECK_INTERVAL_S = 0.25
_SEND_ERROR_TIMEOUT_S = 2.0

Handler = Callable[[Exchange], Awaitable[None]]


class CallerApi:
    """The HTTP API for callers; ``app`` is the ASGI application."""

    def __init__(
        self,
        source: ConfigurationSource,
        dispatcher: ModelDispatcher,
        services: ServiceCaller,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
        engines_known: Callable[[], bool] = lambda: True,
        stall_timeout_s: float = 20.0,
    ) -> None:
        """Build the application and subscribe to changes of the configuration.

        The node is not ready before ``engines_known`` returns true. A request is
        aborted if its caller reads nothing for ``stall_timeout_s`` seconds.
        """
        self._source = source
        self._dispatcher = dispatcher
        self._services = services
        self._metrics = metrics
        self._clock = clock
        self._engines_known = engines_known
        self._draining = False
        self._stall_timeout_s = stall_timeout_s
        self._exchanges: set[Exchange] = set()
        self._exchanges_by_key: dict[str, set[Exchange]] = {}
        source.subscribe(self._on_configuration_change)
        self.app = Starlette(
            routes=[
                Route(
                    "/v1/chat/completions", _Endpoint(self, self._chat), methods=None
                ),
                Route("/v1/completions", _Endpoint(self, self._completion)),
                Route("/v1/models", _Endpoint(self, self._models)),
                Mount("/services", _Endpoint(self, self._service)),
                Mount("/open", _Endpoint(self, self._open)),
                Route("/healthz", _Endpoint(self, self._health, is_health_check=True)),
                Route(
                    "/readyz", _Endpoint(self, self._readiness, is_health_check=True)
                ),
                Mount("/", _Endpoint(self, self._unknown_path)),
            ]
        )

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return len(self._exchanges)

    @property
    def ready(self) -> bool:
        """Whether load balancers should send requests to this node.

        Requests that arrive before the engines are known are served all the same.
        """
        return (
            not self._draining
            and self._engines_known()
            and self._source.may_serve(self._clock())
        )

    def drain(self) -> None:
        """Refuse new requests; those in progress continue."""
        self._draining = True

    async def run(self) -> None:
        """Abort requests of stalled callers, and keyed ones on an isolated node."""
        while True:
            await anyio.sleep(_CHECK_INTERVAL_S)
            self.abort_stalled_requests()
            if self._exchanges_by_key and not self._source.may_serve(self._clock()):
                for key_id in list(self._exchanges_by_key):
                    # A withdrawal of the key might not reach this node.
                    self._abort_requests(
                        key_id, _stale_configuration_error(RunState.RAN)
                    )

    def abort_stalled_requests(self) -> None:
        """Abort requests whose callers have stopped reading the response."""
        now = self._clock()
        for exchange in self._exchanges:
            exchange.abort_if_stalled(now, self._stall_timeout_s)

    def create_exchange(self, scope: Scope, receive: Receive, send: Send) -> Exchange:
        """Create the exchange of a new request."""
        return Exchange(scope, receive, send, uuid4().hex, self._clock)

    async def serve(self, exchange: Exchange, handler: Handler) -> None:
        """Run ``handler``, send an error if it fails, and count the outcome."""
        self._exchanges.add(exchange)
        self._metrics.running.inc()
        outcome = "complete"
        try:
            try:
                if self._draining:
                    raise RequestRefusedError(
                        "shutting_down", "this node is shutting down", retry_after=0
                    )
                await handler(exchange)
                if exchange.caller_stalled:
                    outcome = "caller_stalled"
                elif exchange.cancel_scope.cancelled_caught:
                    outcome = "caller_gone"
                if exchange.error is not None:
                    raise exchange.error
            except RequestRefusedError as error:
                outcome = error.code
                # A caller that reads nothing must not block the end of its request.
                with anyio.move_on_after(_SEND_ERROR_TIMEOUT_S):
                    await exchange.send_error(error)
            except CallerDisconnectedError:
                outcome = "caller_gone"
            except Exception:
                outcome = "internal_error"
                _log.exception("request failed", request_id=exchange.request_id)
                with anyio.move_on_after(_SEND_ERROR_TIMEOUT_S):
                    await exchange.send_error(internal_error())
        finally:
            self._exchanges.discard(exchange)
            self._metrics.running.dec()
            self._metrics.answers.labels(outcome).inc()

    async def _run_cancellable(
        self, exchange: Exchange, key: Key | None, work: Callable[[], Awaitable[None]]
    ) -> None:
        """Run ``work``; a disconnect of the caller or ``exchange.abort`` cancels it."""
        if key is not None:
            self._exchanges_by_key.setdefault(key.key_id, set()).add(exchange)
        failure: Exception | None = None
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(exchange.watch_disconnect)
                with exchange.cancel_scope:
                    try:
                        await work()
                    except Exception as error:
                        # Raised after the task group has ended, which would wrap it
                        # in an exception group.
                        failure = error
                tasks.cancel_scope.cancel()
        finally:
            if key is not None:
                group = self._exchanges_by_key[key.key_id]
                group.discard(exchange)
                if not group:
                    del self._exchanges_by_key[key.key_id]
        if failure is not None and exchange.error is None:
            raise failure

    def _authenticate(self, exchange: Exchange) -> tuple[Key, Contract, str]:
        header = exchange.header(b"authorization") or ""
        scheme, _, secret = header.partition(" ")
        if not self._source.may_serve(self._clock()):
            raise _stale_configuration_error(RunState.NOT_RUN)
        configuration = self._source.configuration
        secret = secret.strip()
        key = None
        if scheme.lower() == "bearer" and secret:
            key = configuration.authenticate(secret)
        if key is None:
            raise RequestRefusedError("unauthenticated", "no valid bearer key")
        contract = configuration.contracts.get(key.workspace)
        if contract is None:
            raise RequestRefusedError("forbidden", "the workspace has no contract")
        return key, contract, secret

    async def _chat(self, exchange: Exchange) -> None:
        await self._generate(exchange, chat=True)

    async def _completion(self, exchange: Exchange) -> None:
        await self._generate(exchange, chat=False)

    async def _generate(self, exchange: Exchange, chat: bool) -> None:
        _require_method(exchange, "POST")
        _, _, secret = self._authenticate(exchange)
        raw_body = await exchange.read_body(MAX_BODY_BYTES)
        # The key may have been withdrawn while the body was read.
        key, contract, _ = self._authenticate(exchange)
        body = parse_body(raw_body, chat)
        request = self._build_model_request(
            exchange.request_id, raw_body, body, contract, secret
        )
        encoder = CompletionEncoder(exchange.request_id, body.model, chat)
        arrived = self._clock()
        tokens: list[str] = []

        async def collect(part: tuple[str, ...]) -> None:
            if not tokens:
                self._metrics.first_token.observe(self._clock() - arrived)
            tokens.extend(part)

        async def forward(part: tuple[str, ...]) -> None:
            if not exchange.response_started:
                self._metrics.first_token.observe(self._clock() - arrived)
                await exchange.start_stream(STREAM_HEADERS)
            await exchange.write(encoder.encode_chunk(part))

        async def work() -> None:
            emit = forward if body.stream else collect
            completion = await self._dispatcher.generate(request, emit)
            if not body.stream:
                text = "".join(tokens)
                await exchange.send_response(
                    200, (JSON_TYPE,), encoder.encode_response(text, completion)
                )
                return
            if not exchange.response_started:
                await exchange.start_stream(STREAM_HEADERS)
            await exchange.end_stream(encoder.encode_end(completion))

        await self._run_cancellable(exchange, key, work)

    def _build_model_request(
        self,
        request_id: str,
        raw_body: bytes,
        body: ModelBody,
        contract: Contract,
        secret: str,
    ) -> ModelRequest:
        configuration = self._source.configuration
        adapter = configuration.adapters.get(body.model)
        model = configuration.models.get(adapter.model if adapter else body.model)
        if model is None:
            raise RequestRefusedError("model_not_found", f"no model {body.model!r}")
        if not _matches_any(contract.models, body.model):
            raise RequestRefusedError(
                "forbidden", f"the contract does not include model {body.model!r}"
            )
        if secret in body.prompt or secret in str(body.parameters):
            raise RequestRefusedError(
                "invalid_request", "the body contains the caller's key"
            )
        return ModelRequest(
            request_id=request_id,
            workspace=contract.workspace,
            priority=contract.priority,
            model=model.name,
            version=model.version,
            adapter=adapter.name if adapter else "",
            prompt=body.prompt,
            prompt_tokens=estimate_tokens(body.prompt),
            max_tokens=limit_answer_tokens(body, contract.max_answer_tokens),
            weight=contract.weight,
            fingerprint=fingerprint(contract.workspace, body.model, raw_body),
            parameters=body.parameters,
        )

    async def _models(self, exchange: Exchange) -> None:
        _require_method(exchange, "GET")
        _, contract, _ = self._authenticate(exchange)
        configuration = self._source.configuration
        names = sorted([*configuration.models, *configuration.adapters])
        data = [
            {"id": name, "object": "model", "owned_by": "flamingopond"}
            for name in names
            if _matches_any(contract.models, name)
        ]
        body = orjson.dumps({"object": "list", "data": data})
        await exchange.send_response(200, (JSON_TYPE,), body)

    async def _service(self, exchange: Exchange) -> None:
        _, _, secret = self._authenticate(exchange)
        name, _, rest = _path_below(exchange, "/services").partition("/")
        raw_body = await exchange.read_body(MAX_BODY_BYTES)
        key, contract, _ = self._authenticate(exchange)
        if name not in self._source.configuration.services:
            raise RequestRefusedError("route_not_found", f"no service {name!r}")
        if not _matches_any(contract.services, name):
            raise RequestRefusedError(
                "forbidden", f"the contract does not include service {name!r}"
            )
        await self._forward(exchange, key, name, f"/{rest}", raw_body, secret)

    async def _open(self, exchange: Exchange) -> None:
        path = "/" + _path_below(exchange, "/open")
        service = _find_open_service(self._source.configuration, path)
        if service is None:
            raise RequestRefusedError("route_not_found", f"no open route for {path!r}")
        raw_body = await exchange.read_body(MAX_BODY_BYTES)
        secret = (exchange.header(b"authorization") or "").rpartition(" ")[2]
        await self._forward(exchange, None, service, path, raw_body, secret)

    async def _forward(
        self,
        exchange: Exchange,
        key: Key | None,
        service: str,
        path: str,
        raw_body: bytes,
        secret: str,
    ) -> None:
        request = build_service_request(exchange, path, raw_body, secret)
        idempotency_key = exchange.header(b"idempotency-key")
        workspace = key.workspace if key else ""

        async def work() -> None:
            response = await self._services.call(
                workspace, service, request, idempotency_key
            )
            headers = [
                (name.lower().encode("latin-1"), value.encode("latin-1"))
                for name, value in response.headers.items()
                if name.lower() not in ("content-length", "x-request-id")
            ]
            await exchange.send_response(response.status, headers, response.body)

        await self._run_cancellable(exchange, key, work)

    async def _health(self, exchange: Exchange) -> None:
        await exchange.send_response(200, (JSON_TYPE,), b'{"status":"ok"}')

    async def _readiness(self, exchange: Exchange) -> None:
        body = orjson.dumps(
            {"ready": self.ready, "revision": self._source.configuration.revision}
        )
        await exchange.send_response(200 if self.ready else 503, (JSON_TYPE,), body)

    async def _unknown_path(self, exchange: Exchange) -> None:
        raise RequestRefusedError("route_not_found", "no such path")

    def _on_configuration_change(self, touched: frozenset[ObjectId]) -> None:
        for kind, name in touched:
            # A key that is replaced gets another secret or workspace.
            if kind is ObjectKind.KEY:
                self._abort_requests(name, _key_withdrawn_error())

    def _abort_requests(self, key_id: str, error: RequestRefusedError) -> None:
        for exchange in list(self._exchanges_by_key.get(key_id, ())):
            exchange.abort(error)


class _Endpoint:
    """An ASGI application for one handler.

    Starlette's request and response objects are not used: they would cost more for
    each streamed chunk than the rest of the request path.
    """

    def __init__(
        self, callers: CallerApi, handler: Handler, is_health_check: bool = False
    ) -> None:
        self._callers = callers
        self._handler = handler
        self._is_health_check = is_health_check

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        exchange = self._callers.create_exchange(scope, receive, send)
        if self._is_health_check:
            await self._handler(exchange)
        else:
            await self._callers.serve(exchange, self._handler)


def _require_method(exchange: Exchange, method: str) -> None:
    if exchange.scope["method"] != method:
        raise RequestRefusedError("invalid_request", f"the method must be {method}")


def _path_below(exchange: Exchange, prefix: str) -> str:
    path: str = exchange.scope["path"]
    return path.removeprefix(prefix).removeprefix("/")


def _matches_any(patterns: tuple[str, ...], name: str) -> bool:
    return any(fnmatchcase(name, pattern) for pattern in patterns)


def _find_open_service(configuration: Configuration, path: str) -> str | None:
    """Return the service of the longest open route that is a prefix of ``path``."""
    best: tuple[int, str] | None = None
    for route in configuration.routes.values():
        prefix = route.path.removeprefix("/open").rstrip("/")
        if (
            route.open
            and (path == prefix or path.startswith(prefix + "/"))
            and (best is None or len(prefix) > best[0])
        ):
            best = (len(prefix), route.service)
    return best[1] if best else None


def _key_withdrawn_error() -> RequestRefusedError:
    return RequestRefusedError(
        "key_withdrawn", "the key was withdrawn during the request", RunState.RAN
    )


def _stale_configuration_error(run_state: RunState) -> RequestRefusedError:
    return RequestRefusedError(
        "configuration_stale", "this node cannot confirm its configuration", run_state
    )
