"""Holdings: models and adapters loaded on engines, published by the lease holder."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from attrs import define, field, frozen
from msgspec import structs

from ..messages import Holdings, encode
from ..settings import BYTES_PER_S_PER_MBPS
from .orders import PreviousLoads
from .roster import Target

# Holdings are sent in messages of about this size. A datagram is lost if one of its
# packets is, so that the rows of many engines are better not sent in one.
MESSAGE_BYTES = 16384


# All holdings are sent again in this period, as datagrams may be lost.
REFRESH_PERIOD_S = 1.0
# Part of the lease holder's link that this may take; large fleets refresh less often.
REFRESH_LINK_FRACTION = 0.1
# Encoded size of one engine's holdings.
ENGINE_BYTES = 200


@define
class HoldingsRefresh:
    """Chooses the engines whose holdings are sent to all gateways again, in turn."""

    _turn: dict[str, None] = field(factory=dict)
    _credit: float = 0.0

    def choose(
        self,
        engines: Iterable[str],
        gateways: int,
        link_mbps: float,
        elapsed_s: float,
    ) -> list[str]:
        """Return the ids of the engines that are due after ``elapsed_s``."""
        current = dict.fromkeys(engines)
        self._turn = {name: None for name in self._turn if name in current} | current
        link_rate = link_mbps * BYTES_PER_S_PER_MBPS * REFRESH_LINK_FRACTION
        engines_per_s = min(
            len(self._turn) / REFRESH_PERIOD_S,
            link_rate / (ENGINE_BYTES * max(gateways, 1)),
        )
        self._credit = min(self._credit + engines_per_s * elapsed_s, len(self._turn))
        due = list(self._turn)[: int(self._credit)]
        self._credit -= len(due)
        for name in due:
            self._turn[name] = self._turn.pop(name)
        return due


@frozen
class _KnownHoldings:
    order: tuple[int, int]
    start_id: int
    models: Mapping[str, frozenset[str]]


@define
class HoldingsCache:
    """Models and adapters by engine, and estimated waits by service and model.

    Engines that the lease holder has not published yet are taken from the platform's
    target list, which lags behind.
    """

    _known: dict[str, _KnownHoldings] = field(factory=dict)
    _backlog_waits_ms: dict[str, dict[str, int]] = field(factory=dict)
    _late_request_waits_ms: dict[str, dict[str, int]] = field(factory=dict)
    _waits_order: tuple[int, int] = (0, 0)
    _last_heard_at: float | None = None
    _previous_loads: PreviousLoads | None = None
    _loads_order: tuple[int, int] = (0, 0)

    def backlog_wait_s(self, service: str, model: str, late: bool = False) -> float:
        """Return how long the fleet takes to serve its backlog for a model.

        Requests that are ``late`` for their latency objective wait longer, as the
        others go first.
        """
        wait_s = self._backlog_waits_ms.get(service, {}).get(model, 0) / 1000
        if not late:
            return wait_s
        return max(
            wait_s, self._late_request_waits_ms.get(service, {}).get(model, 0) / 1000
        )

    @property
    def previous_loads(self) -> PreviousLoads | None:
        """Loads that the last lease holder has told to have started, if any has."""
        return self._previous_loads

    def lease_holder_silence_s(self, now: float) -> float:
        """Return the time since the last message of a lease holder, 0 if none came."""
        return now - self._last_heard_at if self._last_heard_at is not None else 0.0

    def update(self, message: Holdings, now: float | None = None) -> bool:
        """Store holdings newer than the known ones; return whether there were any."""
        if now is not None:
            self._last_heard_at = now
        order = (message.fence, message.number)
        if message.backlog_waits_ms is not None and order > self._waits_order:
            self._backlog_waits_ms = message.backlog_waits_ms
            self._late_request_waits_ms = message.late_request_waits_ms or {}
            self._waits_order = order
        if message.loads_by_age and now is not None and order > self._loads_order:
            self._previous_loads = PreviousLoads(tuple(message.loads_by_age), now)
            self._loads_order = order
        changed = False
        for held in message.engines:
            known = self._known.get(held.target)
            if known is not None and known.order >= order:
                continue
            models = {name: frozenset(entry[1]) for name, entry in held.models.items()}
            self._known[held.target] = _KnownHoldings(order, held.start_id, models)
            changed = True
        return changed

    def models(self, target: Target) -> Mapping[str, frozenset[str]]:
        """Return the models that ``target`` holds, each with its adapters."""
        known = self._known.get(target.id)
        if known is not None and known.start_id == target.start_id:
            return known.models
        return {name: held.adapters for name, held in target.holdings.items()}

    def holds(self, target: Target, model: str, adapter: str | None) -> bool:
        """Whether ``target`` holds a model, and an adapter of it if one is named."""
        adapters = self.models(target).get(model)
        if adapters is None:
            return False
        return adapter is None or adapter in adapters


def split_holdings(message: Holdings) -> list[Holdings]:
    """Return messages of moderate size that together say the same as ``message``."""
    engines = message.engines
    if len(engines) < 2 or len(encode(message)) <= MESSAGE_BYTES:
        return [message]
    middle = len(engines) // 2
    first = structs.replace(message, engines=engines[:middle])
    # The waits are sent once.
    second = structs.replace(
        message,
        engines=engines[middle:],
        backlog_waits_ms=None,
        late_request_waits_ms=None,
    )
    return split_holdings(first) + split_holdings(second)
