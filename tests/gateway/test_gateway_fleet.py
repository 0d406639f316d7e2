"""Choice of hubs and exchange of summaries while links and hubs fail; no network.

Cases: a hub that fails, one that restarts, an isolated gateway, a partition into
two halves, a new gateway.
"""

from __future__ import annotations

import itertools
import random
from types import SimpleNamespace

import gateway_parts as parts
import pytest

from flamingopond_gateway.configuration import Workspace
from flamingopond_gateway.dispatch.loads import Work, WorkTable
from flamingopond_gateway.dispatch.quota import QuotaTracker
from flamingopond_gateway.exchange.distribution import BURST_S, bursts
from flamingopond_gateway.exchange.exchange import MAX_PERIOD_S, PeerExchange
from flamingopond_gateway.exchange.hub import Hub
from flamingopond_gateway.exchange.members import (
    HUB_COUNT,
    MEMBER_TIMEOUT_S,
    RETRIED_HUBS,
    Members,
)
from flamingopond_gateway.exchange.peers import MAX_DATAGRAM_BYTES
from flamingopond_gateway.exchange.summaries import SummaryFollower
from flamingopond_gateway.messages import (
    EngineHoldings,
    GatewayReport,
    Holdings,
    TargetWork,
    encode,
)
from flamingopond_gateway.settings import BYTES_PER_S_PER_MBPS
from flamingopond_gateway.targets.holdings import (
    HoldingsCache,
    HoldingsRefresh,
    split_holdings,
)

PERIOD_S = 0.15


def report(node, number=1, registration_version=1, **changes):
    values = {
        "port": 7600,
        "capacity": 100,
        "leaving": False,
        "watching": False,
        "store_failure_age_ms": -1000,
        "versions": {},
        "fence": 0,
        "work": [],
        "admitted": {},
        "waiting_demand": [],
        "demand_rates": [],
        "in_flight": [],
        "targets_with_stale_holdings": [],
    }
    return GatewayReport(
        node=node,
        registration_version=registration_version,
        number=number,
        **(values | changes),
    )


class Fleet:
    """Simulated gateways that send reports and summaries as PeerExchange does."""

    def __init__(self, count, large=None):
        self.nodes = [f"gw-{n:02d}" for n in range(count)]
        self.large = set(self.nodes if large is None else large)
        self.down = set()
        self.is_cut = lambda a, b: False
        self.members = {}
        self.hubs = {}
        self.followers = {}
        self.numbers = dict.fromkeys(self.nodes, 0)
        self.sent = dict.fromkeys(self.nodes, 0)
        self.now = 0.0
        for node in self.nodes:
            self.start(node)

    def capacity(self, node):
        return 100 if node in self.large else 5

    def start(self, node):
        members = self.members[node] = Members(node, self.capacity(node))
        for other in self.nodes:
            members.add(other, ("10.0.0.1", 1), 1, self.capacity(other))
        self.hubs[node] = Hub(node, members)
        self.followers[node] = SummaryFollower(members)

    def report_fields(self, node):
        """Return fields of a gateway's report that differ from the usual ones."""
        return {}

    def connected(self, a, b):
        return not (a in self.down or b in self.down or self.is_cut(a, b))

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += PERIOD_S
            for node in self.nodes:
                if node not in self.down:
                    self._step(node)

    def _step(self, node):
        self.numbers[node] += 1
        fields = {"capacity": self.capacity(node)} | self.report_fields(node)
        sent_report = report(node, self.numbers[node], **fields)
        self.hubs[node].add_report(sent_report, ("10.0.0.1", 0), self.now)
        for hub in self.members[node].report_receivers(self.now):
            if hub != node:
                self.sent[node] += 1
                if self.connected(node, hub):
                    self.hubs[hub].add_report(sent_report, ("10.0.0.1", 0), self.now)
        if node not in self.members[node].hubs(self.now):
            return
        summary = self.hubs[node].summary(1, self.numbers[node], self.now)
        self.followers[node].offer(summary, PERIOD_S, self.now)
        for other, _ in self.hubs[node].subscribers(self.now):
            self.sent[node] += 1
            if self.connected(node, other):
                self.followers[other].offer(summary, PERIOD_S, self.now)

    def expire(self):
        """Let all gateways drop the members that are silent for too long."""
        for node, members in self.members.items():
            for gone in members.expire(self.now):
                self.hubs[node].remove(gone)

    def heard_count(self, node):
        summary = self.followers[node].fresh(self.now)
        return summary.reporting_count if summary is not None else 1

    def chosen_hubs(self, node):
        return self.members[node].hubs(self.now)


@pytest.mark.parametrize("count", [2, 8, 65])
def test_all_report_to_the_same_hubs(count):
    fleet = Fleet(count)
    fleet.run(3.0)
    for node in fleet.nodes[HUB_COUNT:]:
        assert fleet.chosen_hubs(node) == fleet.nodes[:HUB_COUNT]
        assert fleet.heard_count(node) == count


def test_hubs_have_large_links():
    """A 5 Mbit/s link can't carry the summaries for a large fleet."""
    fleet = Fleet(8, large=["gw-05", "gw-06"])
    fleet.run(3.0)
    assert fleet.chosen_hubs("gw-00") == ["gw-05", "gw-06"]


@pytest.mark.parametrize("lost", [["gw-00"], ["gw-01"], ["gw-00", "gw-01"]])
def test_lost_hubs_are_replaced(lost):
    fleet = Fleet(10)
    fleet.run(3.0)
    fleet.down.update(lost)
    fleet.run(6.0)
    for node in fleet.nodes[4:]:
        assert not set(fleet.chosen_hubs(node)) & set(lost)
        assert fleet.heard_count(node) == 10 - len(lost)


def test_restarted_hub_is_used_again():
    """A restarted hub had heard no reports and took itself for the only gateway."""
    fleet = Fleet(10)
    fleet.run(3.0)
    fleet.down.add("gw-00")
    fleet.run(6.0)
    fleet.down.clear()
    fleet.start("gw-00")
    fleet.run(6.0)
    for node in fleet.nodes[4:]:
        assert "gw-00" in fleet.chosen_hubs(node)
        assert fleet.heard_count(node) == 10


@pytest.mark.parametrize("isolated", ["gw-00", "gw-05"])
def test_isolated_gateway_rejoins(isolated):
    fleet = Fleet(8)
    fleet.run(3.0)
    fleet.is_cut = lambda a, b: isolated in (a, b)
    fleet.run(8.0)
    assert fleet.heard_count("gw-03") == 7
    fleet.is_cut = lambda a, b: False
    fleet.run(8.0)
    assert [fleet.heard_count(node) for node in fleet.nodes] == [8] * 8


def test_each_side_of_a_partition_has_its_own_hubs():
    fleet = Fleet(10)
    fleet.run(3.0)
    half = set(fleet.nodes[:5])
    fleet.is_cut = lambda a, b: (a in half) != (b in half)
    fleet.run(10.0)
    assert fleet.heard_count("gw-04") == 5
    assert fleet.heard_count("gw-09") == 5


# Guards SHORT and Fault: gateways that the first hubs did not hear in the first seconds
# of a day stayed a fleet of their own. They watched the store and chose targets by
# themselves, and each part ended by forgetting the other.
@pytest.mark.parametrize(
    ("size", "apart", "seconds"),
    [
        (10, 5, 10.0),
        (50, 10, 8.0),
        # The smaller part, or the larger one, is without the first members in order.
        (50, 10, 15.0),
        (50, 40, 15.0),
        # Both parts have dropped the members of the other one.
        (50, 10, MEMBER_TIMEOUT_S + 8.0),
        (3, 1, MEMBER_TIMEOUT_S + 8.0),
        (195, 41, 6.0),
    ],
)
def test_parts_of_a_fleet_meet_again(size, apart, seconds):
    fleet = Fleet(size)
    fleet.run(3.0)
    part = set(fleet.nodes[-apart:])
    fleet.is_cut = lambda a, b: (a in part) != (b in part)
    fleet.run(seconds)
    fleet.expire()
    assert {fleet.heard_count(node) for node in fleet.nodes} == {apart, size - apart}
    fleet.is_cut = lambda a, b: False
    fleet.run(8.0)
    assert {fleet.heard_count(node) for node in fleet.nodes} == {size}
    assert {members.count() for members in fleet.members.values()} == {size}


# Guards the messages of a fleet after a loss of half of it: machines that are gone for
# good are tried as hubs again, but only a few at a time.
@pytest.mark.parametrize("size", [10, 60])
def test_gone_members_are_tried_as_hubs_few_at_a_time(size):
    fleet = Fleet(size)
    fleet.run(3.0)
    fleet.down.update(fleet.nodes[: size // 2])
    fleet.run(MEMBER_TIMEOUT_S + 8.0)
    fleet.expire()
    before = dict(fleet.sent)
    periods = 40
    fleet.run(periods * PERIOD_S)
    alive = fleet.nodes[size // 2 :]
    assert {fleet.heard_count(node) for node in alive} == {len(alive)}
    sent = {fleet.sent[node] - before[node] for node in alive[HUB_COUNT:]}
    assert max(sent) <= (HUB_COUNT + 2 * RETRIED_HUBS) * periods


# Guards SHORT: a hub sent its summary to 194 gateways at the same moment, 1.6 MB in the
# first seconds of a day, and the last ones lost each of them on the full link.
@pytest.mark.parametrize(
    ("receivers", "size", "link_mbps", "count"),
    [
        (7, 300, 1000, 1),
        (194, 300, 200, 1),
        (194, 10000, 200, 17),
        # Slower than the period allows for half of the link: evenly spread over it.
        (194, 10000, 20, 194),
        (0, 300, 1000, 0),
    ],
)
def test_summaries_are_sent_in_bursts_that_the_link_carries(
    receivers, size, link_mbps, count
):
    found = bursts(receivers, size, link_mbps, MAX_PERIOD_S)
    link_rate = link_mbps * BYTES_PER_S_PER_MBPS
    assert len(found) == count
    assert sum(number for _, number in found) == receivers
    for (begin, number), (end, _) in itertools.pairwise(found):
        assert number == 1 or number * size <= BURST_S * link_rate
        assert end > begin
        assert end <= MAX_PERIOD_S


def test_messages_of_an_ordinary_gateway_do_not_grow_with_the_fleet():
    counts = {}
    for size in (8, 65):
        fleet = Fleet(size)
        fleet.run(3.0)
        before = dict(fleet.sent)
        fleet.run(3.0)
        counts[size] = max(
            fleet.sent[node] - before[node] for node in fleet.nodes[HUB_COUNT:]
        )
    assert counts[65] <= counts[8]


def test_member_that_stays_silent_is_dropped():
    fleet = Fleet(4)
    fleet.run(3.0)
    fleet.down.add("gw-03")
    fleet.run(MEMBER_TIMEOUT_S + 4.0)
    assert fleet.members["gw-02"].expire(fleet.now) == ["gw-03"]


def test_first_to_register_is_found_by_the_later_ones():
    """The first gateway read a member list without the others and stayed isolated."""
    fleet = Fleet(9)
    first = "gw-07"
    fleet.members[first] = Members(first, 100)
    fleet.hubs[first] = Hub(first, fleet.members[first])
    fleet.followers[first] = SummaryFollower(fleet.members[first])
    for number, node in enumerate(fleet.nodes):
        if node != first:
            # The announcement of a gateway that registered later.
            sent_report = report(node, number=0, capacity=100)
            fleet.hubs[first].add_report(sent_report, ("10.0.0.1", 0), 0.01 * number)
    fleet.run(3.0)
    assert fleet.heard_count(first) == 9
    assert fleet.heard_count("gw-00") == 9


def test_new_gateway_becomes_known_to_all():
    members = Members("gw-00", 100)
    hub = Hub("gw-00", members)
    hub.add_report(report("gw-00"), ("10.0.0.1", 0), 0.0)
    hub.add_report(report("gw-07"), ("10.0.0.9", 0), 0.1)
    summary = hub.summary(1, 1, 0.2)
    other = Members("gw-01", 100)
    other.join(summary.joined)
    member = other.get("gw-07")
    assert member is not None
    assert member.address == ("10.0.0.9", 7600)


@pytest.mark.parametrize(
    ("second", "taken"),
    [
        (report("b", 2), True),
        (report("b", 1), False),
        (report("b", 1, registration_version=2), True),
        (report("b", 9, registration_version=0), False),
    ],
)
def test_reports_that_repeat_or_come_late_are_dropped(second, taken):
    hub = Hub("a", Members("a", 100))
    assert hub.add_report(report("b", 1), ("10.0.0.1", 0), 0.0)
    assert hub.add_report(second, ("10.0.0.1", 0), 0.1) == taken


def test_leaving_gateway_is_not_counted():
    hub = Hub("a", Members("a", 100))
    hub.add_report(report("a"), ("10.0.0.1", 0), 0.0)
    hub.add_report(report("b", 1), ("10.0.0.2", 0), 0.0)
    hub.add_report(report("b", 2, leaving=True), ("10.0.0.2", 0), 0.1)
    assert hub.summary(1, 1, 0.2).reporting_count == 1


def test_summary_names_newest_versions_and_the_holder():
    hub = Hub("a", Members("a", 100))
    hub.add_report(report("a", versions={"op": 5}, fence=3), ("10.0.0.1", 0), 0.0)
    hub.add_report(report("b", versions={"op": 9}, fence=8), ("10.0.0.2", 0), 0.0)
    summary = hub.summary(1, 1, 0.1)
    assert summary.versions == {"op": (9, "b")}
    assert (summary.lease_holder, summary.fence) == ("b", 8)


def test_own_work_is_not_counted_twice():
    """The totals contain this gateway's last report, not its present load."""
    table = WorkTable()
    table.add("e1", Work(requests=3, prefill_tokens=30))
    totals = {"e1": Work(requests=5, prefill_tokens=50)}
    table.update_peers(totals, {"e1": Work(requests=2, prefill_tokens=20)}, now=1.0)
    assert table.at("e1") == Work(requests=6, prefill_tokens=60)
    table.expire(9.0)
    assert table.at("e1") == Work(requests=3, prefill_tokens=30)


def test_sums_of_a_restarted_gateway_count_from_zero():
    hub = Hub("a", Members("a", 100))
    hub.add_report(report("b", 1, admitted={"w": 900}), ("10.0.0.2", 0), 0.0)
    hub.add_report(report("b", 2, admitted={"w": 950}), ("10.0.0.2", 0), 0.1)
    hub.add_report(
        report("b", 1, registration_version=2, admitted={"w": 30}), ("10.0.0.2", 0), 0.2
    )
    assert hub.summary(1, 1, 0.3).admitted == {"w": 80}


def test_change_of_hub_charges_nothing_twice():
    workspace = Workspace("w", rate=1000.0, burst=1000.0, by_tokens=True)
    tracker = QuotaTracker(first_start=True)
    tracker.admit(workspace, 1, 0.0)
    workspaces = {"w": workspace}
    tracker.apply_fleet_totals("hub-1", {"w": 500}, {}, workspaces, 0.0)
    tracker.apply_fleet_totals("hub-1", {"w": 900}, {}, workspaces, 0.0)
    tracker.apply_fleet_totals("hub-2", {"w": 90000}, {}, workspaces, 0.0)
    assert tracker.admit(workspace, 500, 0.0) == 0
    assert tracker.admit(workspace, 500, 0.0) > 0


def test_reports_are_sized_for_small_links():
    """With 65 gateways and 70 engines a summary is less than 4,000 bytes."""
    hub = Hub("gw-00", Members("gw-00", 100))
    for number in range(65):
        work = [TargetWork(f"i-{n:08x}", 3, 4000, 9000) for n in range(70)]
        hub.add_report(
            report(
                f"front-zone-{number}",
                work=work,
                admitted={f"w{n}": 9**9 for n in range(16)},
            ),
            ("10.0.0.1", 0),
            0.0,
        )
    assert len(encode(hub.summary(1, 1, 5.0))) < 4000


@pytest.mark.parametrize(
    ("known", "announced", "pulls"), [(5, 6, 1), (6, 6, 0), (7, 6, 0), (5, 0, 0)]
)
def test_a_hub_pulls_a_newer_configuration_at_once(known, announced, pulls):
    """Guards the CONFIG bound: a withdrawn key reached 1 of 86 gateways after 3 s.

    The hub announced a version that it did not have yet, so the gateways that
    followed it pulled in vain and waited for the next summary.
    """
    members = Members("gw-00")
    members.add("gw-01", ("10.0.0.1", 1), 1, 100)
    pulled = []
    hub = SimpleNamespace(
        configuration_table="op",
        watchers={"op": SimpleNamespace(copy=SimpleNamespace(content_version=known))},
        members=members,
        _table_sync=SimpleNamespace(want=lambda *call: pulled.append(call)),
    )
    PeerExchange._pull_configuration(
        hub, report("gw-01", versions={"op": announced} if announced else {}), 7.0
    )
    assert pulled == [("op", announced, ["gw-01"], 7.0)] * pulls


def large_holdings(engines, models):
    rng = random.Random(1)
    names = [f"model-{rng.randrange(16**6):06x}" for _ in range(models)]
    held = [
        EngineHoldings(
            f"i-{number:010x}",
            1775086709837,
            {rng.choice(names): (1, ["a1", "a140"]) for _ in range(4)},
        )
        for number in range(engines)
    ]
    waits = {"models": dict.fromkeys(names[:200], 900)}
    return Holdings("gw-00", 93, 7, held, waits, waits)


# Guards against holdings that no gateway gets, as those of 600 engines outgrow a
# datagram.
@pytest.mark.parametrize("engines", [1, 70, 600, 3000])
@pytest.mark.parametrize("is_reversed", [False, True])
def test_holdings_of_many_engines_are_sent_in_several_datagrams(engines, is_reversed):
    whole = large_holdings(engines, 1800)
    messages = split_holdings(whole)
    assert all(len(encode(message)) <= MAX_DATAGRAM_BYTES for message in messages)
    received, expected = HoldingsCache(), HoldingsCache()
    expected.update(whole)
    for message in reversed(messages) if is_reversed else messages:
        received.update(message)
    for held in whole.engines:
        target = parts.target(held.target, start_id=held.start_id)
        assert received.models(target) == expected.models(target)
    for model in whole.backlog_waits_ms["models"]:
        wait_s = received.backlog_wait_s("models", model)
        assert wait_s == expected.backlog_wait_s("models", model) == 0.9


# Guards against a lease holder's link that is full of holdings: of 245 engines to 300
# gateways, all of them each second are 13 MB/s.
@pytest.mark.parametrize(
    ("engines", "gateways", "link_mbps"),
    [(9, 9, 1000), (70, 86, 100), (245, 300, 100), (400, 400, 50)],
)
def test_holdings_are_refreshed_in_turn_within_a_part_of_the_link(
    engines, gateways, link_mbps
):
    refresh = HoldingsRefresh()
    names = [f"i-{number}" for number in range(engines)]
    sent = [
        name
        for _ in range(500)
        for name in refresh.choose(names, gateways, link_mbps, elapsed_s=0.2)
    ]
    counts = [sent.count(name) for name in names]
    assert max(counts) - min(counts) <= 1
    # 500 messages in 100 s.
    limit = 0.1 * link_mbps * 125000 / (200 * gateways)
    assert len(sent) <= 100 * min(engines, limit) + 1
    assert min(counts) >= 100 * min(1.0, limit / engines) - 1


def test_new_engines_are_refreshed_and_lost_ones_are_not():
    refresh = HoldingsRefresh()
    refresh.choose(["a", "b"], 9, 1000, elapsed_s=1.0)
    assert set(refresh.choose(["b", "c"], 9, 1000, elapsed_s=1.0)) == {"b", "c"}
