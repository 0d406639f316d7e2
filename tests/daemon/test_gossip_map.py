"""Send order, send limits and expiry of ``GossipMap``."""

from __future__ import annotations

import orjson

from flamingopond_daemon.gossip_map import GossipMap


def keys(data):
    return [entry[0] for entry in orjson.loads(data)] if data else []


def test_newest_first_and_no_entry_twice_in_a_message():
    """Guards against messages that send old entries before new ones."""
    gossip_map = GossipMap(60.0, max_sends=3)
    gossip_map.put("a", (1, 1), 1, 0.0)
    gossip_map.put("b", (1, 1), 1, 1.0)
    assert keys(gossip_map.publish(1.0)) == ["b", "a"]
    gossip_map.put("a", (1, 2), 2, 2.0)
    assert keys(gossip_map.publish(2.0)) == ["a", "b"]


def test_entry_is_sent_max_sends_times():
    """Guards against entries that are sent without end."""
    gossip_map = GossipMap(60.0, max_sends=2)
    gossip_map.put("a", (1, 1), 1, 0.0)
    assert [keys(gossip_map.publish(t)) for t in (0.0, 1.0, 2.0)] == [["a"], ["a"], []]


def test_resend_all_repeats_what_was_sent():
    """Guards against a node that starts late and never receives old entries."""
    gossip_map = GossipMap(60.0, max_sends=2)
    gossip_map.put("a", (1, 1), 1, 0.0)
    gossip_map.publish(0.0)
    gossip_map.publish(1.0)
    gossip_map.resend_all()
    assert keys(gossip_map.publish(2.0)) == ["a"]


def test_byte_rate_is_kept_and_all_entries_are_sent():
    """Guards against messages above the byte rate and entries that are never sent."""
    gossip_map = GossipMap(1e6, max_sends=100, bytes_per_s=1000.0)
    for number in range(1000):
        gossip_map.put(f"key-{number}", (1, 1), "x" * 20, 0.0)
    seen, sent = set(), 0
    for second in range(120):
        data = gossip_map.publish(float(second))
        seen.update(keys(data))
        sent += len(data)
    assert len(seen) == 1000
    # The initial burst, and up to one entry beyond the byte budget per message.
    assert sent <= 8000 + 120 * 1060


def test_old_entries_are_dropped():
    """Guards against expired entries that are sent or kept."""
    gossip_map = GossipMap(10.0, max_sends=100)
    gossip_map.put("a", (1, 1), 1, 0.0)
    assert keys(gossip_map.publish(5.0)) == ["a"]
    assert keys(gossip_map.publish(11.0)) == []
    assert gossip_map.get("a", 11.0) is None
