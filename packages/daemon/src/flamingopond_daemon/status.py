"""Views of the daemon for its operators."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

import attrs

from flamingopond_core.configuration import Configuration
from flamingopond_core.timeline import EventFilter
from flamingopond_daemon.events import Events
from flamingopond_daemon.interfaces import EngineDirectory
from flamingopond_daemon.leaving import Leaving
from flamingopond_daemon.operatorsources import TimelineQuery
from flamingopond_daemon.peers import Peers


class Members(Protocol):
    """The part of the cluster that is shown."""

    def members(self, now: float) -> Sequence[Any]:
        """Return the members that are heard."""


class Status:
    """What this node knows of VMs, targets and models."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        cluster: Members,
        directory: EngineDirectory,
        leaving: Leaving,
    ) -> None:
        """Take the subsystems that are shown."""
        self._configuration = configuration
        self._cluster = cluster
        self._directory = directory
        self._leaving = leaving

    def status(self, now: float) -> Mapping[str, Any]:
        """Return JSON values under ``vms``, ``targets`` and ``models``."""
        configuration = self._configuration()
        leaving = self._leaving.names
        heard = {member.name for member in self._cluster.members(now)}
        vms = [
            {
                "name": vm.name,
                "address": vm.address,
                "availability_zone": vm.availability_zone,
                "state": "leaving" if vm.name in leaving else str(vm.state),
                "heard": vm.name in heard,
            }
            for vm in self._leaving.listed.values()
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
            {"name": name, "engines": list(self._directory.placed(name))}
            for name in sorted([*configuration.models, *configuration.adapters])
        ]
        return {"vms": vms, "targets": targets, "models": models}


class FleetTimeline:
    """The events of all daemons in causal order."""

    def __init__(
        self,
        events: Events,
        peers: Peers,
        cluster: Members,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Take what is needed to ask all members."""
        self._events = events
        self._peers = peers
        self._cluster = cluster
        self._clock = clock

    async def collect(
        self, query: TimelineQuery
    ) -> tuple[Sequence[Mapping[str, Any]], Sequence[str]]:
        """Return matching events, and the members that did not answer."""
        members = [member.name for member in self._cluster.members(self._clock())]
        wanted = EventFilter(after=query.after, kinds=query.kinds, limit=query.limit)
        events, silent = await self._events.collect(self._peers, members, wanted)
        fields = {
            "request_id": query.request,
            "workspace": query.workspace,
            "target": query.target,
        }
        selected = [
            attrs.asdict(event)
            for event in events
            if all(
                value is None or event.fields.get(field) == value
                for field, value in fields.items()
            )
        ]
        return selected, silent
