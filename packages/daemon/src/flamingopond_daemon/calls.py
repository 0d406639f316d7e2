"""Calls to plain services."""

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
from flamingopond_daemon.oncerows import NothingSentError, OnceRows
from flamingopond_daemon.waiting import Admission, Applicant
from flamingopond_platform.service import Service, ServiceRequest, ServiceResponse

CALL_LIMIT_S = 30.0
MAX_ATTEMPTS = 3
MAX_KEY_LENGTH = 255
TOKEN_BYTES = 1024
"""A service call costs one token per started KB of request and of reply."""

REPLY_TOKENS = 16
"""Tokens reserved for a reply; a longer one is charged and paid back later."""

_POLL_S = 1.0
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class CallLimits(Protocol):
    """What is needed of the limits."""

    async def reserve(self, workspace: str, tokens: int, deadline: float) -> Any:
        """Set tokens aside; raises ``RequestRefusedError``."""

    def settle(self, reservation: Any, used: int) -> None:
        """End a reservation."""


class ServiceCalls:
    """Calls plain services, those that may not be repeated at most once.

    The caller's key and credentials are gone from ``request`` already; see
    ``secrecy``.
    """

    def __init__(
        self,
        services: Callable[[], Mapping[str, objects.Service]],
        client: Callable[[str], Service],
        limits: CallLimits,
        once: OnceRows,
        *,
        max_wait: float = 0.44,
        calls_per_target: int = 32,
        contracts: Callable[[], Mapping[str, objects.Contract]] = dict,
        leaving: Callable[[str], bool] = lambda address: False,
        clock: Callable[[], float] = time.monotonic,
        rng: Random | None = None,
    ) -> None:
        """``client`` maps an address.

        ``max_wait`` (seconds) is for tokens and for the early refusal of calls;
        ``calls_per_target`` limits this node's calls in flight at each address.
        """
        self._services = services
        self._client = client
        self._limits = limits
        self._once = once
        self._max_wait = max_wait
        self._leaving = leaving
        self._calls_per_target = calls_per_target
        self._contracts = contracts
        self._admission = Admission(self._places, max_wait, clock)
        self._clock = clock
        self._rng = rng or Random()
        self._budgets: dict[str, RetryBudget] = {}
        self._running: Counter[str] = Counter()
        self._load: dict[str, int] = {}
        self._draining: set[str] = set()

    @property
    def admission(self) -> Admission:
        """The queues in which calls wait for a place."""
        return self._admission

    async def call(
        self,
        workspace: str,
        service: str,
        request: ServiceRequest,
        idempotency_key: str | None,
    ) -> ServiceResponse:
        """Make one call; ``workspace`` is empty on open routes.

        Raises ``RequestRefusedError``.
        """
        target = self._services().get(service)
        if target is None:
            raise RequestRefusedError("route_not_found", f"no service {service!r}")
        repeatable = _is_idempotent(target, request)
        if not repeatable:
            _check_key(idempotency_key)
        async with self._charged(workspace, request) as replies:
            if repeatable:
                async with self._admission.slot(
                    service, self._applicant(workspace, request)
                ):
                    reply = await self._call_repeatable(target, request)
            else:
                digest = _digest(service, request)
                reply = await self._once.run_once(
                    workspace,
                    idempotency_key or "",
                    digest,
                    lambda: self._send_admitted(workspace, target, request),
                    self._clock() + CALL_LIMIT_S,
                )
            replies.append(reply)
            return reply

    async def run(self) -> None:
        """Poll the load reports of the services."""
        while True:
            addresses = {a for s in self._services().values() for a in s.addresses}
            self._draining &= addresses
            async with anyio.create_task_group() as group:
                for address in addresses:
                    group.start_soon(self._poll, address)
            await anyio.sleep(_POLL_S)

    async def _poll(self, address: str) -> None:
        self._load.pop(address, None)
        with anyio.move_on_after(_POLL_S):
            try:
                report = await self._client(address).report()
            except TargetError:
                return
            self._load[address] = report.running
            if report.draining:
                self._draining.add(address)
            else:
                self._draining.discard(address)

    @asynccontextmanager
    async def _charged(
        self, workspace: str, request: ServiceRequest
    ) -> AsyncIterator[list[ServiceResponse]]:
        """Charge the call to ``workspace``; the body adds the reply."""
        replies: list[ServiceResponse] = []
        if not workspace:
            yield replies
            return
        sent = _tokens(request.body)
        reservation = await self._limits.reserve(
            workspace, sent + REPLY_TOKENS, self._clock() + self._max_wait
        )
        used = sent
        try:
            yield replies
            used = sent + sum(_tokens(reply.body) for reply in replies)
        except RequestRefusedError as error:
            used = 0 if error.run_state is RunState.NOT_RUN else sent
            raise
        finally:
            self._limits.settle(reservation, used)

    def _applicant(self, workspace: str, request: ServiceRequest) -> Applicant:
        contract = self._contracts().get(workspace)
        return Applicant(
            workspace,
            contract.priority if contract else Priority.STANDARD,
            _tokens(request.body) + REPLY_TOKENS,
            contract.weight if contract else 1.0,
            self._max_wait,
        )

    def _places(self, service: str) -> int:
        """Return how many calls to ``service`` may be in flight."""
        target = self._services().get(service)
        # A call without a target gets its own refusal instead of a wait.
        targets = len(self._usable(target)) if target else 0
        return max(1, targets) * self._calls_per_target

    def _usable(self, target: objects.Service) -> list[str]:
        return [
            address
            for address in target.addresses
            if address not in self._draining and not self._leaving(address)
        ]

    def _order(self, target: objects.Service) -> list[str]:
        """Return the usable addresses, the least loaded first.

        Full ones are left out while others are not full: the places are counted
        for all addresses together.
        """
        usable = self._usable(target)
        usable = [
            a for a in usable if self._running[a] < self._calls_per_target
        ] or usable
        return sorted(
            usable,
            key=lambda a: (
                max(self._running[a], self._load.get(a, 0)),
                self._rng.random(),
            ),
        )

    async def _call_repeatable(
        self, target: objects.Service, request: ServiceRequest
    ) -> ServiceResponse:
        budget = self._budgets.setdefault(target.name, RetryBudget())
        budget.record_request(self._clock())
        error: TargetError | None = None
        state = RunState.NOT_RUN
        for attempt in range(MAX_ATTEMPTS):
            addresses = self._order(target)
            if not addresses:
                break
            if attempt and not budget.allow_retry(self._clock()):
                break
            address = addresses[attempt % len(addresses)]
            try:
                return await self._send(address, request, fresh=attempt > 0)
            except TargetError as failure:
                error = failure
                if failure.run_state is not RunState.NOT_RUN:
                    state = failure.run_state
        if error is None or isinstance(error, TargetUnreachableError):
            raise RequestRefusedError(
                "no_target", f"no target of {target.name} can be reached", state
            )
        raise RequestRefusedError("target_failed", str(error), state)

    async def _send_admitted(
        self, workspace: str, target: objects.Service, request: ServiceRequest
    ) -> ServiceResponse:
        """Wait for a place and send the call to one target.

        The place is taken only here, so that the recorded outcome of an earlier
        call is returned even while the targets are full.
        """
        applicant = self._applicant(workspace, request)
        async with AsyncExitStack() as stack:
            try:
                await stack.enter_async_context(
                    self._admission.slot(target.name, applicant)
                )
            except RequestRefusedError as refusal:
                raise NothingSentError(refusal) from refusal
            return await self._send_once(target, request)

    async def _send_once(
        self, target: objects.Service, request: ServiceRequest
    ) -> ServiceResponse:
        """Send the call to one target; another is tried only if nothing was sent."""
        for address in self._order(target):
            try:
                return await self._send(address, request, fresh=True)
            except TargetError as error:
                if error.run_state is not RunState.NOT_RUN:
                    raise RequestRefusedError(
                        "target_failed", str(error), error.run_state
                    ) from error
        raise NothingSentError(
            RequestRefusedError(
                "no_target", f"no target of {target.name} can be reached"
            )
        )

    async def _send(
        self, address: str, request: ServiceRequest, fresh: bool
    ) -> ServiceResponse:
        self._running[address] += 1
        try:
            with anyio.fail_after(CALL_LIMIT_S):
                return await self._client(address).call(request, fresh_connection=fresh)
        except TimeoutError as error:
            raise RequestRefusedError(
                "target_timeout",
                f"{address} did not answer in {CALL_LIMIT_S:g} s",
                RunState.UNKNOWN,
            ) from error
        finally:
            self._running[address] -= 1
            if not self._running[address]:
                del self._running[address]


def _is_idempotent(target: objects.Service, request: ServiceRequest) -> bool:
    if request.method in _SAFE_METHODS:
        return True
    for entry in target.idempotent:
        method, _, path = entry.partition(" ")
        if method in ("*", request.method) and fnmatchcase(request.path, path):
            return True
    return False


def _check_key(key: str | None) -> None:
    if not key:
        raise RequestRefusedError(
            "idempotency_key_required", "this call needs an Idempotency-Key"
        )
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise RequestRefusedError(
            "invalid_request",
            f"an Idempotency-Key has at most {MAX_KEY_LENGTH} printable characters",
        )


def _digest(service: str, request: ServiceRequest) -> str:
    digest = hashlib.sha256()
    for part in (service, request.method, request.path, request.query):
        data = part.encode()
        digest.update(len(data).to_bytes(8, "big") + data)
    digest.update(request.body)
    return digest.hexdigest()


def _tokens(body: bytes) -> int:
    return max(1, math.ceil(len(body) / TOKEN_BYTES))
