"""Shares of plain services and the reuse of connections, without a network."""

from __future__ import annotations

import asyncio

import gateway_parts as parts
import pytest
import xxhash

from flamingopond_gateway.callers import attempt
from flamingopond_gateway.callers.attempt import idle_times_s
from flamingopond_gateway.configuration import RouteKind
from flamingopond_gateway.dispatch.loads import Work
from flamingopond_gateway.dispatch.service_shares import (
    NOT_SPACED,
    ServiceShares,
    TargetUse,
    connection_part,
    may_send,
    places,
    send_interval_s,
)
from flamingopond_gateway.transport import connector
from flamingopond_gateway.transport.http_client import ConnectionPool

SLOTS = 6
FLEETS = (2, 5, 59, 74)
CALL = parts.route(RouteKind.SAFE, timeout_s=1.5)


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.parametrize(
    ("own", "peers", "gateways", "failing", "expected"),
    [
        pytest.param(8, 0, 1, False, True, id="alone: all slots and the queue"),
        pytest.param(9, 0, 1, False, False, id="alone: no more than that"),
        pytest.param(5, 0, 74, False, True, id="borrows from idle gateways"),
        pytest.param(6, 0, 74, False, False, id="leaves places for others"),
        pytest.param(0, 7, 74, False, True, id="one place is left"),
        pytest.param(0, 8, 74, False, False, id="no place is left"),
        pytest.param(2, 5, 74, False, False, id="others need what it borrowed"),
        pytest.param(0, None, 74, False, True, id="no summary: an equal part"),
        pytest.param(1, None, 74, False, False, id="no summary: returns the rest"),
        pytest.param(3, None, 2, False, True, id="no summary: half of two"),
        pytest.param(4, None, 2, False, False, id="no summary: not above half"),
        pytest.param(0, 0, 74, True, True, id="a failing target is tried"),
        pytest.param(1, 0, 74, True, False, id="a failing target gets no herd"),
    ],
)
def test_requests_in_flight_follow_demand(own, peers, gateways, failing, expected):
    """74 gateways that saw a free target each sent there until it rejected them."""
    use = TargetUse(own, peers)
    assert may_send(SLOTS, use, gateways, failing) is expected


@pytest.mark.parametrize("gateways", FLEETS)
@pytest.mark.parametrize("hungry", [1, 2, 30])
def test_all_gateways_together_stay_under_the_places(gateways, hungry):
    own = [0] * min(hungry, gateways)
    for _ in range(20):
        for index, mine in enumerate(own):
            use = TargetUse(mine, sum(own) - mine)
            own[index] += may_send(SLOTS, use, gateways, failing=False)
    assert SLOTS - 1 <= sum(own) <= places(SLOTS, gateways) < SLOTS * 1.5


@pytest.mark.parametrize("gateways", FLEETS)
@pytest.mark.parametrize(
    ("peers", "spacing"), [(None, 0.0), (8, 0.0), (0, 1.0), (None, 1.0)]
)
def test_paced_sends_of_all_gateways_are_what_the_slots_serve(gateways, peers, spacing):
    """Without this, each of 74 gateways sent one as soon as one place was free."""
    use = TargetUse(0, peers)
    interval_s = send_interval_s(SLOTS, use, gateways, 0.1, spacing)
    if peers is None and not spacing and gateways <= SLOTS:
        assert interval_s == 0
    else:
        assert gateways / interval_s == pytest.approx(SLOTS / 0.1)


def test_sends_to_a_target_with_room_are_not_spaced_out():
    assert send_interval_s(SLOTS, TargetUse(1, 5), 74, 0.1, spacing=0.0) == 0


@pytest.mark.parametrize("cap", [50, 410, 500])
@pytest.mark.parametrize("gateways", FLEETS)
def test_connections_of_all_gateways_stay_under_the_cap(cap, gateways):
    """Targets reset 1,105 connections over their caps on one day."""
    part = connection_part(SLOTS, cap, gateways)
    assert part * gateways + places(SLOTS, 1) <= 0.9 * cap
    assert part >= (4 if cap >= 410 else 0)


def test_without_a_cap_connections_have_no_part():
    assert connection_part(SLOTS, 0, 74) is None


class IdleConnection:
    """A connection without requests; its target may have closed it."""

    reusable = True
    complete = True

    def __init__(self, peer_closed=False):
        self.closed = False
        self.peer_closed = peer_closed

    def peer_has_closed(self):
        return self.peer_closed

    def has_carried(self, request_id):
        return False

    async def wait_for_reset(self, timeout_s):
        """Return at once, without a reset."""

    def close(self):
        self.closed = True


def scheduler_with_shares(targets, pool=None, gateways=74, cap=410, spec=None):
    scheduler = parts.scheduler(targets, spec)
    scheduler.shares = ServiceShares(
        scheduler.work,
        lambda: gateways,
        (pool or ConnectionPool()).idle_count,
        lambda service: cap,
        lambda service: 0.1,
    )
    return scheduler


def call(name, now, **changes):
    ticket = parts.ticket(name, None, at=now, on=CALL)
    ticket.queue_deadline = now + 1.0
    for key, value in changes.items():
        setattr(ticket, key, value)
    return ticket


def plain_targets(count=3):
    return [parts.target(f"p{index}", slots=SLOTS) for index in range(count)]


def chosen(scheduler, now, ticket):
    scheduler.submit(ticket)
    found = scheduler.assign("log-models", now)
    scheduler.withdraw(ticket)
    for one in found:
        scheduler.work.remove(one.target.id, ticket.work)
    return found[0].target if found else None


@pytest.mark.parametrize("failures", [1, 3, 8])
def test_target_that_fails_fast_draws_no_herd(failures):
    """It has nothing in flight since it fails, and so looked like the idlest one."""
    targets = plain_targets()
    scheduler = scheduler_with_shares(targets)
    busy = {target.id: Work(requests=4) for target in targets[1:]}
    scheduler.work.update_peers(busy, {}, now=1.0)
    for _ in range(failures):
        scheduler.health.of(targets[0].incarnation).record_failure(1.0)
    assert chosen(scheduler, 1.0, call("c", 1.0)).id != "p0"


@pytest.mark.parametrize(
    ("record", "after_s", "idle", "expected"),
    [
        ("record_refusal", 0.04, False, False),
        ("record_refusal", 0.15, False, True),
        ("record_reset", 0.4, False, False),
        ("record_reset", 0.4, True, True),
        ("record_reset", 0.6, False, True),
    ],
)
def test_target_without_room_is_left_alone_for_a_moment(
    record, after_s, idle, expected
):
    """A target that rejects has nothing in flight, and got the next request, too."""
    (target,) = targets = plain_targets(1)
    pool = ConnectionPool()
    if idle:
        pool.release(target.address, IdleConnection(), 9.0, 1.0)
    scheduler = scheduler_with_shares(targets, pool)
    getattr(scheduler.shares, record)(target, 1.0)
    found = chosen(scheduler, 1.0 + after_s, call("c", 1.0))
    assert (found is not None) is expected


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        pytest.param("", 0.0, id="no refusal"),
        pytest.param("r", 0.2, id="one refusal"),
        pytest.param("rr", 0.5, id="they add up"),
        pytest.param("rrrrrrrr", 1.0, id="not beyond an equal part"),
        pytest.param("raaa", 0.0686, id="answers bring the sends closer"),
        pytest.param("r...", 0.1, id="so does time"),
    ],
)
def test_refusals_space_out_the_sends_of_a_gateway(events, expected):
    """With late summaries, 74 gateways sent whenever one showed a free place."""
    spacing, now = NOT_SPACED, 1.0
    for event in events:
        if event == ".":
            now += 1.0
        else:
            spacing = spacing.refused(now) if event == "r" else spacing.answered(now)
    assert spacing.at(now) == pytest.approx(expected)


def test_gateway_that_was_refused_keeps_its_distance():
    """It sent ten a second to a target that refused each of them."""
    (target,) = plain_targets(1)
    scheduler = scheduler_with_shares([target])
    for _ in range(8):
        scheduler.shares.record_refusal(target, 1.0)
    sent = 0
    for step in range(12):
        now = 1.11 + 0.11 * step
        scheduler.work.update_peers({}, {}, now)
        sent += chosen(scheduler, now, call(f"c{step}", now)) is not None
    # The 1.2 s that 74 gateways can keep to, shorter as the refusals get older.
    assert sent == 2


def test_calls_that_get_no_slot_in_time_are_refused_at_once():
    """They waited until their deadline, and their callers couldn't come back."""
    targets = plain_targets()
    scheduler = scheduler_with_shares(targets)
    full = {target.id: Work(requests=8) for target in targets}
    scheduler.work.update_peers(full, {}, now=1.0)
    for number in range(6):
        scheduler.submit(call(f"c{number}", 1.0))
    scheduler.submit(call("tried", 1.0, tried=["p0", "p1", "p2"]))
    assert scheduler.assign("log-models", 1.0) == []
    refused = {one.request.id: s for one, s in scheduler.unservable_calls(1.0)}
    # 18 slots serve 180 calls a second, 2.4 of them from each of 74 gateways.
    assert list(refused) == ["c3", "c4", "c5", "tried"]
    assert refused["c3"] == pytest.approx(4 / (180 / 74))


@pytest.mark.parametrize(("returning", "refused"), [(False, 6), (True, 0)])
def test_a_call_that_has_come_back_is_not_refused_again(returning, refused):
    """The shares refused it a second time for the shortage that it came back from."""
    targets = plain_targets()
    scheduler = scheduler_with_shares(targets)
    full = {target.id: Work(requests=8) for target in targets}
    scheduler.work.update_peers(full, {}, now=1.0)
    for number in range(9):
        scheduler.submit(call(f"c{number}", 1.0, returning=returning))
    assert len(scheduler.unservable_calls(1.0)) == refused


def test_pool_is_bounded_to_each_target_and_in_all():
    pool = ConnectionPool(max_idle=3)
    opened = [IdleConnection() for _ in range(5)]
    for number, connection in enumerate(opened):
        address = ("127.0.0.1", number % 2)
        pool.release(address, connection, 99.0, float(number))
    assert [one.closed for one in opened] == [True, True, False, False, False]
    pool.trim(("127.0.0.1", 0), 1)
    assert opened[2].closed
    assert pool.idle_count(("127.0.0.1", 0)) == 1


@pytest.mark.parametrize(
    ("stated_s", "shared", "expected"),
    [
        (5.0, False, (4.0, 0.3)),
        (5.0, True, (4.7, 2.5)),
        (1.0, True, (0.7, 0.5)),
        (None, True, (4.0, 0.3)),
    ],
)
def test_idle_times_of_connections(stated_s, shared, expected):
    assert idle_times_s(stated_s, shared) == pytest.approx(expected)


# Guards against a request on a connection whose close has arrived: it hasn't run, but
# for an at-most-once request that can't be told from one that has.
@pytest.mark.anyio
@pytest.mark.parametrize("plain", [True, False])
@pytest.mark.parametrize(
    ("at_most_once", "idle_s", "closed", "shared", "reused"),
    [
        (True, 2.4, False, True, True),
        (True, 2.6, False, True, False),
        (True, 2.4, True, True, False),
        (True, 2.4, False, False, False),
        (False, 4.6, False, True, True),
        (False, 4.6, True, True, False),
        (False, 3.9, True, False, True),
    ],
)
async def test_connection_is_reused_only_while_its_target_keeps_it(
    monkeypatch, plain, at_most_once, idle_s, closed, shared, reused
):
    async def connect(address):
        return IdleConnection()

    monkeypatch.setattr(connector, "connect", connect)
    shares = scheduler_with_shares([]).shares if shared else None
    client = attempt.TargetClient(None, None, shares=shares)
    kept, target = IdleConnection(closed), parts.target("t0")
    now = asyncio.get_running_loop().time()
    since = now - idle_s
    reuse_s, fresh_s = idle_times_s(5.0, shared)
    client.pool.release(target.address, kept, since + reuse_s, since, since + fresh_s)
    async with client._connection(target, at_most_once, plain) as connection:
        assert (connection is kept) == reused


def connections_per_request(targets, period_s, model, tokens, shared):
    """Return what a gateway's requests cost while the peers' load varies.

    Every fourth call is at-most-once; the targets keep connections for 5 s. ``tokens``
    bounds the prompt tokens that wait at an engine.
    """
    pool = ConnectionPool()
    spec = parts.engine_spec(parts.model("m0")) if model else None
    scheduler = scheduler_with_shares(targets, pool, spec=spec)
    shares = scheduler.shares
    if not shared:
        scheduler.shares = None
    opened = 0
    count = 400
    for step in range(count):
        now = 1.0 + step * period_s
        peers = {}
        for target in targets:
            draw = xxhash.xxh3_64_intdigest(f"{target.id}/{step}".encode())
            work = Work(8 + draw % 4, draw % tokens) if model else Work(draw % 4)
            peers[target.id] = work
        scheduler.work.update_peers(peers, {}, now)
        # Without shared prompt parts, which would lead to the same engines.
        own_prompt = {"parts": ()} if model else {}
        ticket = parts.ticket(f"r{step}", model, at=now, on=CALL, **own_prompt)
        target = chosen(scheduler, now, ticket)
        at_most_once = not model and step % 4 == 0
        acquire = pool.acquire_fresh if at_most_once else pool.acquire
        connection = acquire(target.address, now)
        if connection is None:
            opened += 1
            connection = IdleConnection()
        reuse_s, fresh_s = idle_times_s(5.0, shared)
        ended = now + 0.05
        pool.release(
            target.address, connection, ended + reuse_s, ended, ended + fresh_s
        )
        if shared and model is None:
            pool.trim(target.address, shares.idle_limit(target))
    return opened / count


@pytest.mark.parametrize(
    ("targets", "period_s", "model", "tokens"),
    [
        pytest.param(3, 0.8, None, 0, id="plain service"),
        pytest.param(45, 0.25, "m0", 300, id="engines, even load"),
        pytest.param(45, 0.25, "m0", 3000, id="engines, uneven load"),
    ],
)
def test_connections_that_a_request_costs(targets, period_s, model, tokens):
    """Three of four requests opened a connection (74 gateways, 45 engines)."""
    slots = 32 if model else SLOTS
    found = [
        parts.target(
            f"t{index}", (model,) if model else (), slots=slots, address=("t", index)
        )
        for index in range(targets)
    ]
    before, after = (
        connections_per_request(found, period_s, model, tokens, shared)
        for shared in (False, True)
    )
    print(f"connections per request: {before:.3f} before, {after:.3f} after")
    # An open connection has to be worth something even where loads differ much.
    assert after <= 0.75 * before
