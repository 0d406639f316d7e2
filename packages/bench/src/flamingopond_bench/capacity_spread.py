"""How many engines each node knows by gossip alone, at several sizes."""

from __future__ import annotations

from random import Random

from flamingopond_bench.capacity_build import (
    ManualClock,
    Topics,
    make_configuration,
    make_digest,
    make_knowledge,
)
from flamingopond_bench.capacity_sizes import Size
from flamingopond_core.roster import Timings
from flamingopond_daemon.cluster import FANOUT
from flamingopond_daemon.engineknowledge import EngineKnowledge


def measure_spread(size: Size, seconds: float = 120.0) -> dict[str, float]:
    """Return the share of engines that a node knows after ``seconds``.

    Each node owns 30 engines that never change. All nodes publish and receive the
    engines' topic as in the cluster's gossip; messages take no time.
    """
    rng = Random(size.nodes)
    clock = ManualClock()
    configuration = make_configuration(size)
    nodes = [make_knowledge(configuration, clock) for _ in range(size.nodes)]
    digests = [make_digest(number, size) for number in range(size.engines)]
    names = list(configuration.engines)
    period = Timings(size.nodes).gossip_period_s
    begun, rounds, sent = clock.now, 0, 0
    while clock.now - begun < seconds:
        for node, (knowledge, topics) in enumerate(nodes):
            # Owners poll each second.
            if rounds % max(1, round(1 / period)) == 0:
                for number in range(node, size.engines, size.nodes):
                    knowledge.share(names[number], 1, digests[number])
            for other in rng.sample(range(size.nodes), FANOUT):
                if other != node:
                    sent += _send(topics, nodes[other])
                    sent += _send(nodes[other][1], nodes[node])
        rounds += 1
        clock.now += period
    known = [
        sum(knowledge.report(name) is not None for name in names) / len(names)
        for knowledge, _ in nodes[:10]
    ]
    return {
        "nodes": float(size.nodes),
        "engines": float(size.engines),
        "known_share": sum(known) / len(known),
        "sent_bytes_per_s": sent / seconds / size.nodes,
    }


def _send(sender: Topics, receiver: tuple[EngineKnowledge, Topics]) -> int:
    data = sender.found["engines"][0]()
    if data:
        receiver[1].found["engines"][1]("peer", data)
    return len(data)
