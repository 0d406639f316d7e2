"""Status and event timeline for the operators' API."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

import attrs

from flamingopond_core.configuration import Configuration
from flamingopond_core.timeline import EventFilter
from flamingopond_daemon.drain_tracker import DrainTracker
from flamingopond_daemon.events import Events
from flamingopond_daemon.interfaces import EngineDirectory
from flamingopond_daemon.operator_subsystems import TimelineQuery
from flamingopond_daemon.peers import Peers


class Members(Protocol):
    """The part of ``Cluster`` that is used here."""

    def members(self, now: float) -> Sequence[Any]:
        """Return the members with a recent heartbeat."""


class Status:
    """Status of VMs, targets and models as known to this node."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        cluster: Members,
        directory: EngineDirectory,
        drain_tracker: DrainTracker,
    ) -> None:
        """Store the subsystems whose state is reported."""
        self._configuration = configuration
        self._cluster = cluster
        self._directory = directory
        self._drain_tracker = drain_tracker

    def status(self, now: float) -> Mapping[str, Any]:
        """Return JSON values under ``vms``, ``targets`` and ``models``."""
        configuration = self._configuration()
        leaving = self._drain_tracker.names
        reachable = {member.name for member in self._cluster.members(now)}
        vms = [
            {
                "name": vm.name,
                "address": vm.address,
                "availability_zone": vm.availability_zone,
                "state": "leaving" if vm.name in leaving else str(vm.state),
                "heard": vm.name in reachable,
            }
            for vm in self._drain_tracker.listed_vms.values()
            if vm.role == "entry"
        ]
        targets = []
        for engine in configuration.engines.values():
            report = self._directory.report(engine.name)
            targets.append(
                {
                    "name": engine.name,
                    "availability_zone": engine.availability_zone,
                    "state": "leaving" if engine.name in leaving else "live",
                    "running": report.running if report else None,
                    "waiting": report.waiting if report else None,
                    "models": [m.model for m in report.models] if report else [],
                }
            )
        models = [
            {"name": name, "engines": list(self._directory.serving_engines(name))}
            for name in sorted([*configuration.models, *configuration.adapters])
        ]
        return {"vms": vms, "targets": targets, "models": models}


class FleetTimeline:
    """Collects the events of all daemons in causal order."""

    def __init__(
        self,
        events: Events,
        peers: Peers,
        cluster: Members,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Store the subsystems needed to query all members."""
        self._events = events
        self._peers = peers
        self._cluster = cluster
        self._clock = clock

    async def collect(
        self, query: TimelineQuery
    ) -> tuple[Sequence[Mapping[str, Any]], Sequence[str]]:
        """Return matching events and the names of members that did not answer."""
        members = [member.name for member in self._cluster.members(self._clock())]
        fields = {
            "request_id": query.request,
            "workspace": query.workspace,
            "target": query.target,
        }
        event_filter = EventFilter(
            after=query.after,
            kinds=query.kinds,
            limit=query.limit,
            fields={k: value for k, value in fields.items() if value is not None},
        )
        events, unanswered = await self._events.collect(
            self._peers, members, event_filter
        )
        return [attrs.asdict(event) for event in events], unanswered
