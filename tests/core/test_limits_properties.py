"""Checks that tokens stay within burst + rate * t in every window under all faults.

The checks fail on each variant in ``VARIANTS``: a cap without the outstanding tokens,
settlements added up instead of kept as totals, a new owner that starts full, late
replies that are used, and expired grants that are refilled while a request still runs.
"""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, given, settings
from limits_simulation import BURST, RATE, SCHEDULES, ScheduleRun

from flamingopond_core.allowance import Allowance, Reservation, Shortfall
from flamingopond_core.bucket import Bucket
from flamingopond_core.grants import GrantRequest, Settlement

SETTINGS = settings(
    max_examples=200,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class _CapWithoutOutstanding(Bucket):
    def _cap_level(self) -> None:
        self._level = min(self._level, self._burst_tokens)


class _AddsSettlements(Bucket):
    def settle(self, node: str, settlement: Settlement, now: float) -> None:
        known = (node, settlement.grant_id) in self._grants
        super().settle(node, settlement, now)
        if known:
            self._outstanding -= settlement.used + settlement.returned


class _StartsFull(Bucket):
    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self._level = float(self._burst_tokens)


class _UsesLateReplies(Allowance):
    def receive(self, reply, requested_at, now):
        return super().receive(reply, now, now)


class _ReturnsExpired(Bucket):
    def advance(self, now: float) -> None:
        for key, grant in list(self._grants.items()):
            if grant.granted_at + 5.0 <= now:
                self._outstanding -= grant.remaining
                self._level += grant.remaining
                del self._grants[key]
        super().advance(now)


def _request(node, tokens, duration_s=0.0, reply_delay=0.01):
    return ("request", node, tokens, 1.0, duration_s, [0.01], [reply_delay])


_SETTLE, _SHORT_WAIT = ("settle", "a", [0.01, 0.01], True), ("wait", 0.05)
VARIANTS = [
    (
        _CapWithoutOutstanding,
        Allowance,
        [_request("a", 390, 30.0), ("wait", 8.0), _request("b", 390, 22.0)],
    ),
    (
        _AddsSettlements,
        Allowance,
        [_request("a", 400), _SHORT_WAIT, _SETTLE, ("wait", 30.0)]
        + [_request(n, 390) for n in "bc"],
    ),
    (
        _StartsFull,
        Allowance,
        [
            _request("a", 400),
            _SHORT_WAIT,
            _SETTLE,
            _SHORT_WAIT,
            ("move", False, set()),
            _request("b", 400),
        ],
    ),
    (
        Bucket,
        _UsesLateReplies,
        [
            _request("a", 400, 0.0, 4.9),
            ("move", False, set()),
            ("wait", 8.0),
            _request("b", 400),
        ],
    ),
    (
        _ReturnsExpired,
        Allowance,
        [_request("a", 400, 7.0), ("wait", 5.1), _request("b", 400)],
    ),
]


@SETTINGS
@given(SCHEDULES)
def test_every_window_is_within_rate_and_burst(schedule) -> None:
    """Guards against use beyond the contract at any place of counting."""
    assert ScheduleRun().run(schedule).violations() == []


class _KeepsDeadGrants(Bucket):
    def advance(self, now: float) -> None:
        for grant in self._grants.values():
            grant.granted_at = now
        super().advance(now)


def _is_full_again(run: ScheduleRun) -> bool:
    run.bucket.advance(run.now + 400.0)
    return (run.bucket.outstanding, run.bucket.level) == (0, BURST)


@SETTINGS
@given(SCHEDULES)
def test_nothing_stays_outstanding(schedule) -> None:
    """Guards against lost messages that remove tokens from the bucket permanently.

    The check fails for ``_KeepsDeadGrants``.
    """
    assert _is_full_again(ScheduleRun().run(schedule))


def test_check_finds_grants_that_stay_outstanding() -> None:
    """Guards against a check that cannot fail."""
    schedule = [_request("a", 100, 30.0), _SHORT_WAIT, ("kill", "a")]
    assert not _is_full_again(ScheduleRun(_KeepsDeadGrants).run(schedule))


@pytest.mark.parametrize(("bucket", "allowance", "schedule"), VARIANTS)
def test_checks_find_broken_variants(bucket, allowance, schedule) -> None:
    """Guards against checks that cannot fail."""
    assert ScheduleRun(bucket, allowance).run(schedule).violations()
    assert ScheduleRun().run(schedule).violations() == []


def request(node: str, grant_id: int, tokens: int, ahead: int = 0) -> GrantRequest:
    return GrantRequest(node, "w", grant_id, tokens, ahead)


def test_request_over_burst_never_fits() -> None:
    """Guards against waiting for tokens that can never become available."""
    bucket = Bucket("w", RATE, BURST, 1, 0.0)
    reply = bucket.grant(request("a", 1, BURST + 1), (1, 99.0), 20.0)
    assert (reply.granted, reply.wait_s) == (0, float("inf"))


def test_engine_count_above_the_reservation_is_paid_back() -> None:
    """Guards against use that is never charged because the estimate was too low."""
    bucket, node = Bucket("w", RATE, BURST, 1, 0.0), Allowance("a")
    ask = node.request_grant("w", BURST, 20.0, ahead=0)
    assert ask is not None
    node.receive(bucket.grant(ask, (1, 99.0), 20.0), 20.0, 20.0)
    reservation = node.reserve("w", BURST, 20.0)
    assert isinstance(reservation, Reservation)
    node.settle(reservation, BURST + 100, 20.0)
    bucket.settle("a", node.settlements()[0], 20.0)
    assert bucket.level == -100
    assert not bucket.grant(request("a", 10**6, 1), (1, 99.0), 21.9).granted
    assert bucket.grant(request("a", 10**6 + 1, 1), (1, 99.0), 22.1).granted == 1


def test_a_waiting_node_is_not_overtaken() -> None:
    """Guards against starvation of a large request by small ones on other nodes."""
    bucket = Bucket("w", RATE, BURST, 1, 0.0)
    assert bucket.grant(request("a", 1, 20), (1, 9.0), 0.1).wait_s == pytest.approx(0.3)
    assert not bucket.grant(request("b", 1, 5, ahead=5), (1, 9.0), 0.2).granted
    assert bucket.grant(request("a", 2, 20), (1, 9.0), 0.4).granted == 20


def test_life_ends_with_the_authority() -> None:
    """Guards against grants that outlive their owner's authority."""
    bucket = Bucket("w", RATE, BURST, 1, 0.0)
    assert bucket.grant(request("a", 1, 5), (1, 10.5), 9.5).life_s == 1.0
    assert bucket.grant(request("a", 2, 5), (1, 9.0), 9.5).not_owner
    assert bucket.grant(request("a", 3, 5), (2, 99.0), 9.5).not_owner
    assert bucket.grant(request("a", 4, 5), None, 9.5).not_owner


def test_extension_is_settled_with_its_reservation() -> None:
    """Guards against extended tokens that are neither spent nor returned."""
    bucket, node = Bucket("w", RATE, BURST, 1, 0.0), Allowance("a")
    ask = node.request_grant("w", 100, 20.0, ahead=0)
    assert ask is not None
    node.receive(bucket.grant(ask, (1, 99.0), 20.0), 20.0, 20.0)
    reservation = node.reserve("w", 60, 20.0)
    assert isinstance(reservation, Reservation)
    assert isinstance(node.extend(reservation, 40, 21.0), Reservation)
    assert node.extend(reservation, 1, 21.0) == Shortfall(1)
    node.settle(reservation, 70, 22.0)
    node.settle(reservation, 70, 22.0)
    assert (reservation.tokens, node.unspent("w")) == (100, 30)
