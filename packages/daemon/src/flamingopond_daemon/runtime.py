"""Builds the subsystems of a daemon and runs them in one task group."""

from __future__ import annotations

import functools
import signal
import time

import anyio
import capnp
import structlog

from flamingopond_core.configuration import Configuration, ObjectId
from flamingopond_core.enums import ObjectKind
from flamingopond_core.roster import Member
from flamingopond_core.routing import EngineInfo, Router
from flamingopond_core.shards import shard_of
from flamingopond_core.suspicion import SuspicionTable
from flamingopond_daemon import drain_tracker as drain_tracker_module
from flamingopond_daemon import quarantine as quarantine_module
from flamingopond_daemon.at_most_once_calls import AtMostOnceCalls
from flamingopond_daemon.caller_api import CallerApi
from flamingopond_daemon.cluster import Cluster
from flamingopond_daemon.configuration_sync import ConfigurationSync
from flamingopond_daemon.dispatch import Dispatcher
from flamingopond_daemon.drain_tracker import DrainTracker
from flamingopond_daemon.engineclients import EngineClientPool
from flamingopond_daemon.enginecontrol import EngineControl, EngineControlSettings
from flamingopond_daemon.events import Events
from flamingopond_daemon.limits import Limits
from flamingopond_daemon.metrics import Metrics
from flamingopond_daemon.operator_api import OperatorApi
from flamingopond_daemon.peers import Peers
from flamingopond_daemon.quarantine import Quarantine
from flamingopond_daemon.readiness import EngineDiscovery
from flamingopond_daemon.server import serve_http
from flamingopond_daemon.service_calls import ServiceCalls
from flamingopond_daemon.settings import Settings
from flamingopond_daemon.status import FleetTimeline, Status
from flamingopond_platform.objects_client import ObjectStoreClient
from flamingopond_platform.service_client import ServiceClient
from flamingopond_platform.table_client import TableClient
from flamingopond_platform.vms_client import VmListClient

_log = structlog.get_logger()
# Time to hand over shards after the last response. During a store outage a node first
# waits for the end of its lease (12 s at 400 nodes).
_HAND_OVER_TIMEOUT_S = 20.0
_OPERATORS_DRAIN_TIMEOUT_S = 2.0


class Runtime:
    """One daemon; must be created inside its event loop and ``capnp.kj_loop()``."""

    def __init__(self, settings: Settings) -> None:
        """Create all subsystems; no socket is opened yet."""
        node, platform, serving = settings.node, settings.platform, settings.serving
        self._settings = settings
        self._stopping = anyio.Event()
        timeout_s = platform.request_timeout_s
        table = TableClient(platform.table_url, timeout_s=timeout_s)
        objects = ObjectStoreClient(platform.objects_url, timeout_s=timeout_s)
        # Three subsystems poll the list, each once a second.
        vms = VmListClient(platform.vms_url, timeout_s=timeout_s, max_age_s=0.5)
        self._metrics = Metrics()
        self._events = Events(node.name)
        secret = settings.security.deployment_secret.encode()
        self._peers = Peers(node.name, secret, node.peers_listen)
        self._events.serve(self._peers)
        self._cluster = Cluster(
            Member(node.name, node.peers_address),
            self._peers,
            table,
            vms,
            self._events,
            seeds={seed.name: seed.address for seed in node.seeds},
            shards=platform.shards,
        )
        self._sync = ConfigurationSync(
            table,
            objects,
            self._peers,
            self._cluster,
            self._events,
            isolation_grace_s=serving.isolation_grace_s,
        )
        self._router = Router(node.availability_zone, node.region)
        self._engines = EngineClientPool(
            self._configuration, serving.stream_silence_s, timeout_s
        )
        self._drain_tracker = DrainTracker(
            node.name,
            vms,
            self._configuration,
            self._router.set_leaving,
            self._stopping.set,
        )
        # Increases with each start of the process; a VM has no other persistent state
        # that could tell two of its processes apart.
        incarnation = int(time.time() * 1000)
        self._limits = Limits(
            self._cluster,
            self._peers,
            lambda: self._configuration().contracts,
            functools.partial(shard_of, shards=platform.shards),
            incarnation,
            max_wait_s=serving.first_token_target_s,
            on_recent_use=self._set_recent_use,
        )
        self._once = AtMostOnceCalls(
            node.name, incarnation, table, objects, self._peers
        )
        self._calls = ServiceCalls(
            lambda: self._configuration().services,
            functools.cache(ServiceClient),
            self._limits,
            self._once,
            max_wait_s=serving.first_token_target_s,
            calls_per_target=serving.calls_per_target,
            contracts=lambda: self._configuration().contracts,
            is_leaving=self._is_leaving,
        )
        self._control = EngineControl(
            EngineControlSettings(
                node.region,
                platform.loads_per_second,
                platform.parallel_loads,
                platform.adapter_parallel,
            ),
            self._cluster,
            table,
            vms,
            self._sync,
            self._engines,
            self._events,
        )
        suspicion = SuspicionTable(node.name)
        self._quarantine = Quarantine(suspicion, self._router, self._engines)
        self._dispatcher = Dispatcher(
            self._limits,
            self._router,
            self._engines,
            self._control,
            suspicion,
            self._quarantine,
            self._metrics,
            self._events,
            serving.first_token_target_s,
        )
        self._discovery = EngineDiscovery(
            self._sync, self._control, self._events, serving.engine_discovery_s
        )
        self._callers = CallerApi(
            self._sync,
            self._dispatcher,
            self._calls,
            self._metrics,
            engines_known=lambda: self._discovery.complete,
            stall_timeout_s=serving.caller_stall_s,
        )
        self._operators = OperatorApi(
            node.name,
            self._sync,
            Status(
                self._configuration, self._cluster, self._control, self._drain_tracker
            ),
            self._drain_tracker,
            FleetTimeline(self._events, self._peers, self._cluster),
            self._metrics,
            settings.security.operator_key_digest,
        ).build()
        for topic, subsystem in (
            (drain_tracker_module.TOPIC, self._drain_tracker),
            (quarantine_module.TOPIC, self._quarantine),
        ):
            self._cluster.add_topic(topic, subsystem.publish, subsystem.receive)
        self._sync.subscribe(self._on_change)

    async def run(self) -> None:
        """Run until a termination signal or a drain, then leave gracefully."""
        node, serving = self._settings.node, self._settings.serving
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._peers.run_server)
            for subsystem in (
                self._cluster,
                self._sync,
                self._drain_tracker,
                self._limits,
                self._once,
                self._calls,
                self._control,
                self._engines,
                self._quarantine,
                self._discovery,
                self._callers,
            ):
                tasks.start_soon(subsystem.run, name=type(subsystem).__name__)
            tasks.start_soon(self._watch_signals)
            stop_operators, operators_stopped = anyio.Event(), anyio.Event()
            tasks.start_soon(self._serve_operators, stop_operators, operators_stopped)
            self._events.record("daemon_started", zone=node.availability_zone)
            await serve_http(
                self._callers.app,
                node.callers_listen,
                self._wait_for_stop,
                serving.drain_timeout_s,
                serving.caller_stall_s,
            )
            # All responses are complete: hand over shards to other nodes.
            with anyio.move_on_after(_HAND_OVER_TIMEOUT_S):
                await self._cluster.leave()
            self._events.record("daemon_left")
            stop_operators.set()
            await operators_stopped.wait()
            tasks.cancel_scope.cancel()

    async def _serve_operators(self, stop: anyio.Event, stopped: anyio.Event) -> None:
        listen = self._settings.node.operators_listen
        await serve_http(self._operators, listen, stop.wait, _OPERATORS_DRAIN_TIMEOUT_S)
        stopped.set()

    async def _wait_for_stop(self) -> None:
        await self._stopping.wait()
        self._callers.drain()
        self._events.record("daemon_draining", running=self._callers.running)

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            async for number in received:
                _log.info("signal received", signal=number.name)
                self._stopping.set()

    def _configuration(self) -> Configuration:
        return self._sync.configuration

    def _is_leaving(self, address: str) -> bool:
        return address in self._drain_tracker.names

    def _set_recent_use(self, workspace: str, recent_use: float) -> None:
        self._dispatcher.admission.set_recent_use(workspace, recent_use)
        self._calls.admission.set_recent_use(workspace, recent_use)

    def _on_change(self, touched: frozenset[ObjectId]) -> None:
        if any(kind is ObjectKind.ENGINE for kind, _ in touched):
            self._router.configure(
                EngineInfo(engine.name, engine.availability_zone, engine.region)
                for engine in self._configuration().engines.values()
            )


async def run_daemon(settings: Settings) -> None:
    """Run a daemon inside the event loop of Cap'n Proto."""
    async with capnp.kj_loop():
        await Runtime(settings).run()
