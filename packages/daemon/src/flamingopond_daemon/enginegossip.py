"""State of all engines, shared between the nodes by gossip."""

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
from flamingopond_daemon.gossip_map import GossipMap
from flamingopond_daemon.interfaces import EventLog
from flamingopond_platform.engine import EngineReport
from flamingopond_platform.vms import Vm, VmState

# Load updates per second of all engines together. In large fleets each engine has fewer
# updates, and nodes rely on the load that comes with the answers to their requests.
_LOAD_UPDATES_PER_S = 25.0
# In small fleets unchanged digests are repeated more often.
_REFRESH_S_PER_ENGINE = 0.2
# In large fleets the byte rate limits how fast all digests can be sent, which must be
# done before the next repetition and well before they expire: 12,000 digests take 180 s
# at 8,000 bytes/s.
_LARGE_FLEET_REFRESH_S_PER_ENGINE = 0.05


class GossipTopics(Protocol):
    """Cluster operations that the gossip of engine state needs."""

    def add_topic(
        self,
        name: str,
        publish: Callable[[], bytes],
        receive: Callable[[str, bytes], None],
    ) -> None:
        """Add a gossip topic."""


class ConfigurationHolder(Protocol):
    """Holder of the current configuration."""

    @property
    def configuration(self) -> Configuration:
        """The current configuration."""


class EngineGossip:
    """Engine digests, loads, demand, plans and leaving targets, shared by gossip."""

    def __init__(
        self,
        refresh_period_s: float,
        topics: GossipTopics,
        configuration: ConfigurationHolder,
        events: EventLog,
        clock: Clock = time.monotonic,
    ) -> None:
        """Join the gossip topics.

        Digests are published when they change and at least every
        ``refresh_period_s``, less often with more than 300 engines, and expire after
        three times that.
        """
        self._base_refresh_period_s = refresh_period_s
        self._config = configuration
        self._events = events
        self._clock = clock
        self._stamp_counter = 0
        # Stamps after a restart must exceed those of the previous process.
        self._incarnation = int(time.time())
        self._digests = GossipMap(
            3 * refresh_period_s,
            EngineDigest.to_json,
            EngineDigest.from_json,
            # Sent without limit, because a node that starts needs all digests.
            max_sends=1_000_000,
            bytes_per_s=8000.0,
        )
        self._loads = GossipMap(30.0, from_json=tuple, max_sends=4, bytes_per_s=3000.0)
        self._demands = GossipMap(60.0, max_sends=4, bytes_per_s=3000.0)
        self._plans = GossipMap(5.0, plan_to_json, plan_from_json)
        self._leaving = GossipMap(60.0, bytes_per_s=500.0)
        self._last_published: dict[str, tuple[EngineDigest, float, float]] = {}
        # Engines by model or adapter served, and the reverse.
        self._index: dict[str, dict[str, None]] = {}
        self._serving: dict[str, frozenset[str]] = {}
        self._listed_addresses: frozenset[str] | None = None
        self._ever_listed: set[str] = set()
        self._vms: Sequence[Vm] = ()
        self._leaving_addresses: tuple[str, ...] = ()
        self._start_times: dict[str, int] = {}
        self._gossip_maps = (self._digests, self._loads, self._plans, self._leaving)
        for name, gossip_map in (
            ("engines", self._digests),
            ("load", self._loads),
            ("demand", self._demands),
            ("placement", self._plans),
            ("leaving", self._leaving),
        ):
            topics.add_topic(
                name,
                self._make_publisher(gossip_map),
                self._make_receiver(name, gossip_map),
            )

    def report(self, engine: str) -> EngineReport | None:
        """Return the newest known report of an engine, or ``None`` if unresponsive."""
        digest = self._digest(engine)
        if digest is None or not digest.alive:
            return None
        return digest.report_with_load(self._loads.get(engine, self._clock()))

    def serving_engines(self, model: str) -> tuple[str, ...]:
        """Return the engines that can serve a model or adapter and are not leaving."""
        # Digests can expire and engines can leave without an update of the index.
        return tuple(
            name
            for name in self._index.get(model, ())
            if self._digest(name) is not None and not self.is_leaving(name)
        )

    def is_leaving(self, engine: str) -> bool:
        """Return whether an engine is leaving or was removed from the list of VMs."""
        target = self._config.configuration.engines.get(engine)
        if target is None:
            return True
        if self._leaving.get(target.address, self._clock()) is not None:
            return True
        # A new engine may not be listed yet; one that was listed before has ended.
        return (
            self._listed_addresses is not None
            and target.address in self._ever_listed
            and target.address not in self._listed_addresses
        )

    def placement_view(self, region: str, now: float) -> PlacementView:
        """Return the planner's view of a region."""
        configuration = self._config.configuration
        engines = {}
        for target in configuration.engines.values():
            if target.region != region:
                continue
            digest = self._digest(target.name)
            if digest is not None:
                usable = (
                    digest.alive
                    and not digest.report.draining
                    and not self.is_leaving(target.name)
                )
                engines[target.name] = EngineView(
                    target.name,
                    target.availability_zone,
                    digest.free_mb,
                    digest.copies,
                    usable,
                    digest.accepts_orders,
                    digest.report.role,
                    digest.abandoned_load_mb,
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
        return PlacementView(engines, models, self._regional_demand(region, now))

    def publish_unresponsive(self, engine: str, epoch: int) -> None:
        """Publish that an engine does not answer its owner."""
        digest = self._digest(engine)
        if digest is not None and digest.alive:
            self._events.record("engine_silent", engine=engine)
            unresponsive = attrs.evolve(digest, alive=False, accepts_orders=False)
            self._digests.put(
                engine, self._next_stamp(epoch), unresponsive, self._clock()
            )
            self._update_index(engine)
            self._last_published.pop(engine, None)

    def publish_digest(self, engine: str, epoch: int, digest: EngineDigest) -> None:
        """Publish a digest if it changed or is due, and its load if that is due."""
        now = self._clock()
        state = attrs.evolve(
            digest, report=digest.report_with_load((digest.report.instance, 0, 0, 0, 0))
        )
        self._update_retention()
        last = self._last_published.get(engine)
        if (
            last is None
            or last[0].to_json() != state.to_json()
            or now - last[1] >= self._refresh_period_s
        ):
            self._digests.put(engine, self._next_stamp(epoch), state, now)
            self._update_index(engine)
            last = (state, now, last[2] if last else 0.0)
        engines = len(self._config.configuration.engines)
        if now - last[2] >= engines / _LOAD_UPDATES_PER_S:
            self._loads.put(engine, self._next_stamp(epoch), digest.load(), now)
            last = (last[0], last[1], now)
        self._last_published[engine] = last

    @property
    def _refresh_period_s(self) -> float:
        """Time between repetitions of an unchanged digest."""
        engines = len(self._config.configuration.engines)
        small_fleet_s = min(
            self._base_refresh_period_s, max(1.0, engines * _REFRESH_S_PER_ENGINE)
        )
        return max(small_fleet_s, engines * _LARGE_FLEET_REFRESH_S_PER_ENGINE)

    def plan(self, region: str) -> Plan:
        """Return the newest plan of a region."""
        plan: Plan = self._plans.get(region, self._clock()) or ()
        return plan

    def publish_plan(self, region: str, epoch: int, plan: Plan) -> None:
        """Publish the plan of a region; an empty plan only to replace another."""
        now = self._clock()
        if plan or self._plans.get(region, now):
            self._plans.put(region, self._next_stamp(epoch), plan, now)

    def publish_demand(
        self, node: str, region: str, rates: Mapping[str, tuple[float, float]]
    ) -> None:
        """Publish the demand that a node has recorded."""
        stamp = self._next_stamp(self._incarnation)
        self._demands.put(node, stamp, (region, rates), self._clock())

    def update_vm_list(self, vms: Sequence[Vm]) -> None:
        """Update the listed and leaving targets from the list of VMs."""
        if vms is not self._vms:
            self._vms = vms
            self._listed_addresses = frozenset(vm.address for vm in vms)
            self._ever_listed |= self._listed_addresses
            self._leaving_addresses = tuple(
                vm.address for vm in vms if vm.state is VmState.LEAVING
            )
        for address in self._leaving_addresses:
            self._leaving.put(address, (int(time.time()), 0), 1, self._clock())

    def _update_retention(self) -> None:
        self._digests.retention_s = 3 * max(
            self._base_refresh_period_s, self._refresh_period_s
        )

    def _update_index(self, engine: str) -> None:
        """Update the index for one engine; a full rebuild for 12,000 took 42 ms."""
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

    def _regional_demand(
        self, region: str, now: float
    ) -> Mapping[str, tuple[float, float]]:
        total: dict[str, tuple[float, float]] = {}
        for _, (node_region, rates) in self._demands.items(now):
            if node_region != region:
                continue
            for model, (fast, slow) in rates.items():
                before = total.get(model, (0.0, 0.0))
                total[model] = (before[0] + fast, before[1] + slow)
        return total

    def _next_stamp(self, epoch: int) -> tuple[int, int]:
        self._stamp_counter += 1
        return epoch, self._incarnation * 1_000_000 + self._stamp_counter

    def _resend_to_new_node(self, sender: str) -> None:
        """Send all entries again if ``sender`` has just started.

        The epoch of its demand entry is its start time. Other entries are published
        only when they change.
        """
        start_time = self._demands.epoch(sender)
        if self._start_times.get(sender, 0) != start_time:
            self._start_times[sender] = start_time
            for gossip_map in self._gossip_maps:
                gossip_map.resend_all()

    def _make_publisher(self, gossip_map: GossipMap) -> Callable[[], bytes]:
        return lambda: gossip_map.publish(self._clock())

    def _make_receiver(
        self, name: str, gossip_map: GossipMap
    ) -> Callable[[str, bytes], None]:
        def receive(sender: str, data: bytes) -> None:
            self._update_retention()
            try:
                updated = gossip_map.receive(data, self._clock())
                if gossip_map is self._digests:
                    for engine in updated:
                        self._update_index(engine)
                self._resend_to_new_node(sender)
            except (ValueError, TypeError, KeyError, IndexError) as error:
                self._events.record(
                    "gossip_malformed", topic=name, sender=sender, reason=repr(error)
                )

        return receive
