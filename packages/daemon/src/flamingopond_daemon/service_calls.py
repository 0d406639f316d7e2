"""Calls to plain services, which are targets other than engines."""

from __future__ import annotations

import hashlib
import math
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from fnmatch import fnmatchcase
from random import Random
from typing import Any, Protocol

import anyio

from flamingopond_core import objects
from flamingopond_core.enums import Priority, RunState
from flamingopond_core.exceptions import (
    RequestRefusedError,
    TargetError,
    TargetUnreachableError,
)
from flamingopond_core.retry_budget import RetryBudget
from flamingopond_daemon.at_most_once_calls import AtMostOnceCalls, NothingSentError
from flamingopond_daemon.request_admission import Admission, AdmissionRequest
from flamingopond_platform.service import Service, ServiceRequest, ServiceResponse

CALL_TIMEOUT_S = 30.0
MAX_ATTEMPTS = 3
MAX_IDEMPOTENCY_KEY_LENGTH = 255
BYTES_PER_TOKEN = 1024
"""A call costs one token per started KB of its request and of its response."""

RESPONSE_TOKENS = 16
"""Tokens reserved for a response; the excess of a longer one is charged afterwards."""

_POLL_INTERVAL_S = 1.0
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class CallLimits(Protocol):
    """The token limits of the workspaces."""

    async def reserve(self, workspace: str, tokens: int, deadline: float) -> Any:
        """Reserve tokens; raises ``RequestRefusedError``."""

    def settle(self, reservation: Any, used: int) -> None:
        """End a reservation, of which ``used`` tokens were used."""


class ServiceCalls:
    """Calls plain services; calls that are not idempotent run at most once.

    The caller's key is already removed from requests; see ``service_requests``.
    """

    def __init__(
        self,
        services: Callable[[], Mapping[str, objects.Service]],
        client: Callable[[str], Service],
        limits: CallLimits,
        once: AtMostOnceCalls,
        *,
        max_wait_s: float = 0.44,
        calls_per_target: int = 32,
        contracts: Callable[[], Mapping[str, objects.Contract]] = dict,
        is_leaving: Callable[[str], bool] = lambda address: False,
        clock: Callable[[], float] = time.monotonic,
        rng: Random | None = None,
    ) -> None:
        """``client`` returns the client for an address.

        ``max_wait_s`` is the longest wait for tokens, and the expected wait for a slot
        above which a call is refused at once, in seconds. ``calls_per_target``
        limits this node's calls in flight at each address.
        """
        self._services = services
        self._client = client
        self._limits = limits
        self._once = once
        self._max_wait_s = max_wait_s
        self._is_leaving = is_leaving
        self._calls_per_target = calls_per_target
        self._contracts = contracts
        self._admission = Admission(self._slots, max_wait_s, clock)
        self._clock = clock
        self._rng = rng or Random()
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._in_flight: Counter[str] = Counter()
        self._reported_load: dict[str, int] = {}
        self._draining: set[str] = set()

    @property
    def admission(self) -> Admission:
        """The queues in which calls wait for a slot."""
        return self._admission

    async def call(
        self,
        workspace: str,
        service: str,
        request: ServiceRequest,
        idempotency_key: str | None,
    ) -> ServiceResponse:
        """Make one call; ``workspace`` is empty for open routes.

        Raises ``RequestRefusedError``.
        """
        definition = self._services().get(service)
        if definition is None:
            raise RequestRefusedError("route_not_found", f"no service {service!r}")
        idempotent = _is_idempotent(definition, request)
        if not idempotent:
            _validate_idempotency_key(idempotency_key)
        async with self._charge(workspace, request) as responses:
            if idempotent:
                async with self._admission.slot(
                    service, self._admission_request(workspace, request)
                ):
                    response = await self._call_with_retries(definition, request)
            else:
                request_digest = _request_digest(service, request)
                response = await self._once.run_once(
                    workspace,
                    idempotency_key or "",
                    request_digest,
                    lambda: self._send_in_slot(workspace, definition, request),
                    self._clock() + CALL_TIMEOUT_S,
                )
            responses.append(response)
            return response

    async def run(self) -> None:
        """Poll the load reports of all targets."""
        while True:
            addresses = {a for s in self._services().values() for a in s.addresses}
            self._draining &= addresses
            async with anyio.create_task_group() as group:
                for address in addresses:
                    group.start_soon(self._poll_report, address)
            await anyio.sleep(_POLL_INTERVAL_S)

    async def _poll_report(self, address: str) -> None:
        self._reported_load.pop(address, None)
        with anyio.move_on_after(_POLL_INTERVAL_S):
            try:
                report = await self._client(address).report()
            except TargetError:
                return
            self._reported_load[address] = report.running
            if report.draining:
                self._draining.add(address)
            else:
                self._draining.discard(address)

    @asynccontextmanager
    async def _charge(
        self, workspace: str, request: ServiceRequest
    ) -> AsyncIterator[list[ServiceResponse]]:
        """Charge a call to ``workspace``; the block adds the response to the list."""
        responses: list[ServiceResponse] = []
        if not workspace:
            yield responses
            return
        sent = _count_tokens(request.body)
        reservation = await self._limits.reserve(
            workspace, sent + RESPONSE_TOKENS, self._clock() + self._max_wait_s
        )
        used = sent
        try:
            yield responses
            used = sent + sum(_count_tokens(response.body) for response in responses)
        except RequestRefusedError as error:
            used = 0 if error.run_state is RunState.NOT_RUN else sent
            raise
        finally:
            self._limits.settle(reservation, used)

    def _admission_request(
        self, workspace: str, request: ServiceRequest
    ) -> AdmissionRequest:
        contract = self._contracts().get(workspace)
        return AdmissionRequest(
            workspace,
            contract.priority if contract else Priority.STANDARD,
            _count_tokens(request.body) + RESPONSE_TOKENS,
            contract.weight if contract else 1.0,
            self._max_wait_s,
        )

    def _slots(self, service: str) -> int:
        """Return how many calls to ``service`` may be in flight from this node."""
        definition = self._services().get(service)
        # Counts at least one target, so that calls without a usable target are
        # refused with ``no_target`` instead of waiting.
        targets = len(self._usable_addresses(definition)) if definition else 0
        return max(1, targets) * self._calls_per_target

    def _usable_addresses(self, service: objects.Service) -> list[str]:
        return [
            address
            for address in service.addresses
            if address not in self._draining and not self._is_leaving(address)
        ]

    def _addresses_by_load(self, service: objects.Service) -> list[str]:
        """Return the usable addresses, the least loaded first.

        Full addresses are left out unless all are full. Slots are counted for the
        whole service, so an address may be full when a call is admitted.
        """
        usable = self._usable_addresses(service)
        usable = [
            a for a in usable if self._in_flight[a] < self._calls_per_target
        ] or usable
        return sorted(
            usable,
            key=lambda a: (
                max(self._in_flight[a], self._reported_load.get(a, 0)),
                self._rng.random(),
            ),
        )

    async def _call_with_retries(
        self, service: objects.Service, request: ServiceRequest
    ) -> ServiceResponse:
        budget = self._retry_budgets.setdefault(service.name, RetryBudget())
        budget.record_request(self._clock())
        error: TargetError | None = None
        state = RunState.NOT_RUN
        for attempt in range(MAX_ATTEMPTS):
            addresses = self._addresses_by_load(service)
            if not addresses:
                break
            if attempt and not budget.allow_retry(self._clock()):
                break
            address = addresses[attempt % len(addresses)]
            try:
                return await self._send(address, request)
            except TargetError as failure:
                error = failure
                if failure.run_state is not RunState.NOT_RUN:
                    state = failure.run_state
        if error is None or isinstance(error, TargetUnreachableError):
            raise RequestRefusedError(
                "no_target", f"no target of {service.name} can be reached", state
            )
        raise RequestRefusedError("target_failed", str(error), state)

    async def _send_in_slot(
        self, workspace: str, service: objects.Service, request: ServiceRequest
    ) -> ServiceResponse:
        """Wait for a slot and send the call to one target.

        The slot is taken only here, after the look-up of the idempotency key, so
        that a recorded outcome is returned even while the targets are full.
        """
        admission_request = self._admission_request(workspace, request)
        async with AsyncExitStack() as stack:
            try:
                await stack.enter_async_context(
                    self._admission.slot(service.name, admission_request)
                )
            except RequestRefusedError as refusal:
                raise NothingSentError(refusal) from refusal
            return await self._send_once(service, request)

    async def _send_once(
        self, service: objects.Service, request: ServiceRequest
    ) -> ServiceResponse:
        """Send the call to one target; try another only if nothing was sent."""
        for address in self._addresses_by_load(service):
            try:
                return await self._send(address, request)
            except TargetError as error:
                if error.run_state is not RunState.NOT_RUN:
                    raise RequestRefusedError(
                        "target_failed", str(error), error.run_state
                    ) from error
        raise NothingSentError(
            RequestRefusedError(
                "no_target", f"no target of {service.name} can be reached"
            )
        )

    async def _send(self, address: str, request: ServiceRequest) -> ServiceResponse:
        """Send the call on a connection of its own.

        Responses of services carry no id: on a kept connection, a second copy of an
        earlier response would be taken for the one to this call.
        """
        self._in_flight[address] += 1
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                return await self._client(address).call(request, fresh_connection=True)
        except TimeoutError as error:
            raise RequestRefusedError(
                "target_timeout",
                f"{address} did not answer in {CALL_TIMEOUT_S:g} s",
                RunState.UNKNOWN,
            ) from error
        finally:
            self._in_flight[address] -= 1
            if not self._in_flight[address]:
                del self._in_flight[address]


def _is_idempotent(service: objects.Service, request: ServiceRequest) -> bool:
    if request.method in _SAFE_METHODS:
        return True
    for entry in service.idempotent:
        method, _, path = entry.partition(" ")
        if method in ("*", request.method) and fnmatchcase(request.path, path):
            return True
    return False


def _validate_idempotency_key(key: str | None) -> None:
    if not key:
        raise RequestRefusedError(
            "idempotency_key_required", "this call needs an Idempotency-Key"
        )
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH or not key.isprintable():
        raise RequestRefusedError(
            "invalid_request",
            f"an Idempotency-Key has at most {MAX_IDEMPOTENCY_KEY_LENGTH}"
            " printable characters",
        )


def _request_digest(service: str, request: ServiceRequest) -> str:
    digest = hashlib.sha256()
    for part in (service, request.method, request.path, request.query):
        data = part.encode()
        digest.update(len(data).to_bytes(8, "big") + data)
    digest.update(request.body)
    return digest.hexdigest()


def _count_tokens(body: bytes) -> int:
    return max(1, math.ceil(len(body) / BYTES_PER_TOKEN))
