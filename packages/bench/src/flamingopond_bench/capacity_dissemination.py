"""Measures how many engines a node learns of by gossip alone."""

from __future__ import annotations

from random import Random

from flamingopond_bench.capacity_sizes import FleetSize
from flamingopond_bench.capacity_state import (
    ManualClock,
    TopicRegistry,
    make_configuration,
    make_digest,
    make_engine_gossip,
)
from flamingopond_core.roster import Timings
from flamingopond_daemon.cluster import GOSSIP_FANOUT
from flamingopond_daemon.enginegossip import EngineGossip


def measure_dissemination(size: FleetSize, seconds: float = 120.0) -> dict[str, float]:
    """Return the fraction of engines that a node knows after ``seconds``.

    Each node owns 30 engines that never change. All nodes publish and receive the
    "engines" topic as in a cluster; messages take no time.
    """
    rng = Random(size.nodes)
    clock = ManualClock()
    configuration = make_configuration(size)
    nodes = [make_engine_gossip(configuration, clock) for _ in range(size.nodes)]
    digests = [make_digest(number, size) for number in range(size.engines)]
    names = list(configuration.engines)
    period_s = Timings(size.nodes).gossip_period_s
    started, round_number, sent_bytes = clock.now, 0, 0
    while clock.now - started < seconds:
        for node, (engine_gossip, topics) in enumerate(nodes):
            # Owners poll their engines once a second.
            if round_number % max(1, round(1 / period_s)) == 0:
                for number in range(node, size.engines, size.nodes):
                    engine_gossip.publish_digest(names[number], 1, digests[number])
            for peer in rng.sample(range(size.nodes), GOSSIP_FANOUT):
                if peer != node:
                    sent_bytes += _gossip(topics, nodes[peer])
                    sent_bytes += _gossip(nodes[peer][1], nodes[node])
        round_number += 1
        clock.now += period_s
    known_fractions = [
        sum(engine_gossip.report(name) is not None for name in names) / len(names)
        for engine_gossip, _ in nodes[:10]
    ]
    return {
        "nodes": float(size.nodes),
        "engines": float(size.engines),
        "known_share": sum(known_fractions) / len(known_fractions),
        "sent_bytes_per_s": sent_bytes / seconds / size.nodes,
    }


def _gossip(sender: TopicRegistry, receiver: tuple[EngineGossip, TopicRegistry]) -> int:
    data = sender.handlers["engines"][0]()
    if data:
        receiver[1].handlers["engines"][1]("peer", data)
    return len(data)
