"""What a node knows about all engines, and what it tells others about its own."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import attrs

from flamingopond_core.configuration import Configuration
from flamingopond_core.placement import EngineView, PlacedModel, PlacementView
from flamingopond_daemon.enginedigest import (
    EngineDigest,
    Plan,
    plan_from_json,
    plan_to_json,
)
from flamingopond_daemon.engineorders import Clock
from flamingopond_daemon.gossipbook import GossipBook
from flamingopond_daemon.interfaces import EventLog
from flamingopond_platform.engine import EngineReport
from flamingopond_platform.vms import Vm, VmState

# Load digests of all engines a second; with more engines each is shared less often,
# and nodes rely on the load that comes with their own answers.
_LOADS_PER_S = 25.0
# An unchanged digest is repeated sooner where there are few.
_REFRESH_S_PER_ENGINE = 0.2
# With many, all digests must go round within the byte rate before the next
# repetition, and long before they are forgotten: 12,000 take 180 s at 8,000 bytes/s.
_REFRESH_S_PER_ENGINE_OF_MANY = 0.05


class GossipTopics(Protocol):
    """What is needed of the cluster."""

    def topic(
        self,
        name: str,
        publish: Callable[[], bytes],
        receive: Callable[[str, bytes], None],
    ) -> None:
        """Add a gossip topic."""


class ConfigurationHolder(Protocol):
    """What is needed of the configuration."""

    @property
    def configuration(self) -> Configuration:
        """The present configuration."""


class EngineKnowledge:
    """Engine digests, loads, demand, plans and leaving targets, by gossip."""

    def __init__(
        self,
        refresh_s: float,
        topics: GossipTopics,
        configuration: ConfigurationHolder,
        events: EventLog,
        clock: Clock = time.monotonic,
    ) -> None:
        """Join the gossip topics.

        Digests are shared when they change and at least every ``refresh_s`` seconds,
        less often with more than 300 engines, and forgotten after three times that.
        """
        self._refresh_s = refresh_s
        self._source = configuration
        self._events = events
        self._clock = clock
        self._counter = 0
        # Stamps of a restarted node must exceed those that it gave out before.
        self._incarnation = int(time.time())
        self._digests = GossipBook(
            3 * refresh_s,
            EngineDigest.to_json,
            EngineDigest.from_json,
            # Repeated without end, as a node that starts needs all of them at once.
            max_sends=1_000_000,
            bytes_per_s=8000.0,
        )
        self._loads = GossipBook(30.0, from_json=tuple, max_sends=4, bytes_per_s=3000.0)
        self._demands = GossipBook(60.0, max_sends=4, bytes_per_s=3000.0)
        self._plans = GossipBook(5.0, plan_to_json, plan_from_json)
        self._leaving = GossipBook(60.0, bytes_per_s=500.0)
        self._shared: dict[str, tuple[EngineDigest, float, float]] = {}
        # Engines by what they serve, and what each engine serves.
        self._index: dict[str, dict[str, None]] = {}
        self._serving: dict[str, frozenset[str]] = {}
        self._listed: frozenset[str] | None = None
        self._seen_targets: set[str] = set()
        self._targets: Sequence[Vm] = ()
        self._listed_leaving: tuple[str, ...] = ()
        self._started: dict[str, int] = {}
        self._books = (self._digests, self._loads, self._plans, self._leaving)
        for name, book in (
            ("engines", self._digests),
            ("load", self._loads),
            ("demand", self._demands),
            ("placement", self._plans),
            ("leaving", self._leaving),
        ):
            topics.topic(name, self._publisher(book), self._receiver(name, book))

    def report(self, engine: str) -> EngineReport | None:
        """Return the newest report known of an engine that answers its owner."""
        digest = self._digest(engine)
        if digest is None or not digest.alive:
            return None
        return digest.with_load(self._loads.get(engine, self._clock()))

    def placed(self, model: str) -> tuple[str, ...]:
        """Return the engines that serve a model (or adapter) and are not leaving."""
        # Digests also expire, and the list of VMs changes, without a new digest.
        return tuple(
            name
            for name in self._index.get(model, ())
            if self._digest(name) is not None and not self.leaving(name)
        )

    def leaving(self, engine: str) -> bool:
        """Return whether an engine is on its way out or gone from the list of VMs."""
        target = self._source.configuration.engines.get(engine)
        if target is None:
            return True
        if self._leaving.get(target.address, self._clock()) is not None:
            return True
        # A new engine may not be on the list yet; one that was there is gone.
        return (
            self._listed is not None
            and target.address in self._seen_targets
            and target.address not in self._listed
        )

    def view(self, region: str, now: float) -> PlacementView:
        """Return what the planner of a region is given."""
        configuration = self._source.configuration
        engines = {}
        for target in configuration.engines.values():
            if target.region != region:
                continue
            digest = self._digest(target.name)
            if digest is not None:
                usable = (
                    digest.alive
                    and not digest.report.draining
                    and not self.leaving(target.name)
                )
                engines[target.name] = EngineView(
                    target.name,
                    target.availability_zone,
                    digest.free_mb,
                    digest.copies,
                    usable,
                    digest.orderable,
                    digest.report.role,
                    digest.lost,
                )
        adapters: dict[str, list[str]] = {}
        for adapter in configuration.adapters.values():
            adapters.setdefault(adapter.model, []).append(adapter.name)
        models = {
            model.name: PlacedModel(
                model.name,
                model.version,
                model.memory_mb,
                model.tokens_per_second,
                model.min_copies,
                tuple(adapters.get(model.name, ())),
            )
            for model in configuration.models.values()
        }
        return PlacementView(engines, models, self._demand_of(region, now))

    def share_silence(self, engine: str, epoch: int) -> None:
        """Gossip that an engine does not answer its owner."""
        digest = self._digest(engine)
        if digest is not None and digest.alive:
            self._events.record("engine_silent", engine=engine)
            silent = attrs.evolve(digest, alive=False, orderable=False)
            self._digests.put(engine, self._stamp(epoch), silent, self._clock())
            self._update_index(engine)
            self._shared.pop(engine, None)

    def share(self, engine: str, epoch: int, digest: EngineDigest) -> None:
        """Gossip a digest if it changed, and its load if that is due."""
        now = self._clock()
        state = attrs.evolve(
            digest, report=digest.with_load((digest.report.instance, 0, 0, 0, 0))
        )
        self._follow_size()
        last = self._shared.get(engine)
        if (
            last is None
            or last[0].to_json() != state.to_json()
            or now - last[1] >= self._refresh_period
        ):
            self._digests.put(engine, self._stamp(epoch), state, now)
            self._update_index(engine)
            last = (state, now, last[2] if last else 0.0)
        engines = len(self._source.configuration.engines)
        if now - last[2] >= engines / _LOADS_PER_S:
            self._loads.put(engine, self._stamp(epoch), digest.load(), now)
            last = (last[0], last[1], now)
        self._shared[engine] = last

    @property
    def _refresh_period(self) -> float:
        """Seconds between repetitions of an unchanged digest."""
        engines = len(self._source.configuration.engines)
        few = min(self._refresh_s, max(1.0, engines * _REFRESH_S_PER_ENGINE))
        return max(few, engines * _REFRESH_S_PER_ENGINE_OF_MANY)

    def plan(self, region: str) -> Plan:
        """Return the newest plan of a region."""
        plan: Plan = self._plans.get(region, self._clock()) or ()
        return plan

    def share_plan(self, region: str, epoch: int, plan: Plan) -> None:
        """Gossip the plan of a region; an empty one only to end another."""
        now = self._clock()
        if plan or self._plans.get(region, now):
            self._plans.put(region, self._stamp(epoch), plan, now)

    def share_demand(
        self, node: str, region: str, rates: Mapping[str, tuple[float, float]]
    ) -> None:
        """Gossip the demand that a node has seen."""
        stamp = self._stamp(self._incarnation)
        self._demands.put(node, stamp, (region, rates), self._clock())

    def note_targets(self, vms: Sequence[Vm]) -> None:
        """Take in the targets on the list of VMs."""
        if vms is not self._targets:
            self._targets = vms
            self._listed = frozenset(vm.address for vm in vms)
            self._seen_targets |= self._listed
            self._listed_leaving = tuple(
                vm.address for vm in vms if vm.state is VmState.LEAVING
            )
        for address in self._listed_leaving:
            self._leaving.put(address, (int(time.time()), 0), 1, self._clock())

    def _follow_size(self) -> None:
        self._digests.forget_s = 3 * max(self._refresh_s, self._refresh_period)

    def _update_index(self, engine: str) -> None:
        """Follow one engine; building the index anew took 42 ms for 12,000."""
        digest = self._digest(engine)
        serving: frozenset[str] = frozenset()
        if digest is not None and digest.alive and not digest.report.draining:
            serving = digest.serving
        before = self._serving.pop(engine, frozenset())
        if serving:
            self._serving[engine] = serving
        for subject in before - serving:
            names = self._index[subject]
            del names[engine]
            if not names:
                del self._index[subject]
        for subject in serving - before:
            self._index.setdefault(subject, {})[engine] = None

    def _digest(self, engine: str) -> EngineDigest | None:
        digest: EngineDigest | None = self._digests.get(engine, self._clock())
        return digest

    def _demand_of(self, region: str, now: float) -> Mapping[str, tuple[float, float]]:
        total: dict[str, tuple[float, float]] = {}
        for _, (node_region, rates) in self._demands.items(now):
            if node_region != region:
                continue
            for model, (fast, slow) in rates.items():
                before = total.get(model, (0.0, 0.0))
                total[model] = (before[0] + fast, before[1] + slow)
        return total

    def _stamp(self, epoch: int) -> tuple[int, int]:
        self._counter += 1
        return epoch, self._incarnation * 1_000_000 + self._counter

    def _note_sender(self, sender: str) -> None:
        """Repeat everything for a node that has just started.

        The epoch of its demand entry is the time of its start. Other entries are
        shared only when they change.
        """
        started = self._demands.epoch(sender)
        if self._started.get(sender, 0) != started:
            self._started[sender] = started
            for book in self._books:
                book.send_again()

    def _publisher(self, book: GossipBook) -> Callable[[], bytes]:
        return lambda: book.publish(self._clock())

    def _receiver(self, name: str, book: GossipBook) -> Callable[[str, bytes], None]:
        def receive(sender: str, data: bytes) -> None:
            self._follow_size()
            try:
                news = book.receive(data, self._clock())
                if book is self._digests:
                    for engine in news:
                        self._update_index(engine)
                self._note_sender(sender)
            except (ValueError, TypeError, KeyError, IndexError) as error:
                self._events.record(
                    "gossip_malformed", topic=name, sender=sender, reason=repr(error)
                )

        return receive
