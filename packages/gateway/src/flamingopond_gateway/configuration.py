"""The operator's configuration: routes, services, workspaces and limits."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from functools import cached_property

from attrs import field, frozen

# Prompts are separated by size where the tightest objective is below this multiple of
# the allowed gap; observed in need of it at ratios of 1.0, 1.4 and 2.0, not at 3.2.
SEPARATION_RATIO = 2.5


class RouteKind(enum.Enum):
    """Whether requests of a route may be sent again, or have streamed answers."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen
class WeightedService:
    """A service that gets part of a route's requests, by its relative weight."""

    service: str
    weight: float


@frozen
class Route:
    """Services and limits for the requests with one host and path prefix.

    ``timeout_s`` limits the whole time of a request; ``objective_s`` is its latency
    objective. ``gap_s`` is the longest allowed pause between events of a stream.
    Callers abandon a stream after ``stall_s`` without an event, also when they wait
    for the first.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    priority: int
    shares: tuple[WeightedService, ...]
    max_attempts: int = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_s: float | None = None
    stall_s: float | None = None

    @property
    def retryable(self) -> bool:
        """Whether a request of this route may be run more than once."""
        return self.kind is RouteKind.SAFE or self.resumable

    def service_for(self, draw: float) -> str:
        """Choose a service by weight; ``draw`` is a random number in [0, 1)."""
        total = sum(share.weight for share in self.shares)
        if total <= 0:
            return self.shares[0].service
        remaining = draw * total
        for share in self.shares:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return self.shares[-1].service


@frozen
class Model:
    """A model that targets of a service can load; sizes in MB, times in s.

    It takes ``load_s`` to load from the weight store, ``warm_s`` from the memory
    of the engine's host and ``disk_s`` from its disk.
    """

    name: str
    weights_mb: float
    load_s: float
    warm_s: float
    disk_s: float
    adapters: int = 0
    adapter_mb: float = 0.0


@frozen
class EngineSpec:
    """Capacity and features that all model engines of a service have."""

    slots: int
    kv_tokens: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    host_mb: float
    disk_mb: float
    models: Mapping[str, Model]
    pin_s: float = 0.0
    hold_s: float = 0.0
    copy_s: float = 0.0
    moves: bool = False
    backups: bool = False

    @cached_property
    def adapter_reserve_mb(self) -> float:
        """Memory in MB of as many of the largest adapters as an engine has room for."""
        sizes_mb = (model.adapter_mb for model in self.models.values())
        return self.adapter_slots * max(sizes_mb, default=0.0)


@frozen
class Service:
    """A named group of interchangeable targets.

    A target is cold for ``cold_s`` after its start, and takes ``cold_per_s`` requests
    per second from all gateways together then; 0 for no limit.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 0
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: EngineSpec | None = None


@frozen
class Workspace:
    """A customer with its rate limit over the whole fleet.

    ``rate`` (per second) and ``burst`` are in tokens with ``by_tokens``, else in
    requests; a rate of 0 means no limit. ``plain_tokens`` is the charge for a
    request without a token count.
    """

    name: str
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    by_tokens: bool = False
    plain_tokens: float = 0.0


@frozen
class RequestLimits:
    """Limits on the size of a caller's request and the time to send it."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


def _routes_by_host(routes: tuple[Route, ...]) -> dict[str, tuple[Route, ...]]:
    hosts: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda route: -len(route.prefix)):
        hosts.setdefault(route.host.lower(), []).append(route)
    return {host: tuple(host_routes) for host, host_routes in hosts.items()}


@frozen
class Configuration:
    """One version of the whole configuration; ``keys`` maps API keys to workspaces."""

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = field(factory=dict)
    workspaces: Mapping[str, Workspace] = field(factory=dict)
    keys: Mapping[str, str] = field(factory=dict)
    limits: RequestLimits = field(factory=RequestLimits)
    _routes_by_host_name: Mapping[str, tuple[Route, ...]] = field(
        init=False, repr=False, eq=False
    )
    _min_gaps_s: Mapping[str, float] = field(init=False, repr=False, eq=False)
    _separated_objectives_s: Mapping[str, float] = field(
        init=False, repr=False, eq=False
    )

    @_min_gaps_s.default
    def _index_min_gaps(self) -> Mapping[str, float]:
        gaps: dict[str, float] = {}
        for route in self.routes:
            for share in route.shares:
                if route.gap_s is not None:
                    known = gaps.get(share.service, route.gap_s)
                    gaps[share.service] = min(known, route.gap_s)
        return gaps

    @_separated_objectives_s.default
    def _index_separated(self) -> Mapping[str, float]:
        tightest: dict[str, float] = {}
        for route in self.routes:
            if route.kind is RouteKind.STREAM:
                for share in route.shares:
                    known = tightest.get(share.service, route.objective_s)
                    tightest[share.service] = min(known, route.objective_s)
        return {
            service: objective_s
            for service, objective_s in tightest.items()
            if objective_s < SEPARATION_RATIO * self._min_gaps_s.get(service, 0.0)
        }

    @_routes_by_host_name.default
    def _index_routes(self) -> Mapping[str, tuple[Route, ...]]:
        return _routes_by_host(self.routes)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path`` at ``host``."""
        for route in self._routes_by_host_name.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def gap_s(self, service: str) -> float | None:
        """Return the longest pause between events that all its stream routes allow."""
        return self._min_gaps_s.get(service)

    def separated_objective_s(self, service: str) -> float | None:
        """Return the tightest stream objective if prompts are separated by size.

        The backlog that the allowed gap between events permits uses up an objective
        that is shorter than SEPARATION_RATIO times that gap; None for other services.
        """
        return self._separated_objectives_s.get(service)

    def workspace(self, key: str | None) -> Workspace | None:
        """Return the workspace of an API key, or None."""
        name = self.keys.get(key) if key else None
        return self.workspaces.get(name) if name is not None else None
