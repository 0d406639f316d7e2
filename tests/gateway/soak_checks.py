"""Invariants that the soak test checks on what callers and engines recorded."""

from __future__ import annotations

import math
import re
from collections import Counter, defaultdict

from attrs import define, field, frozen

NOT_RUN_STATUSES = {408, 421, 429, 503}
# Scope of disruptions of the store for all gateways.
STORE = "store"
# Bounds of the deployment that the promises refer to, in seconds.
STABLE_S = 3.0
DRAIN_S = 2.0
CONFIG_S = 2.0
LOST_S = 0.2
GRACE_S = 4.0
# Callers' deadline; the gateway ends a response a little earlier.
DEADLINE_S = 4.0
DEADLINE_MARGIN_S = 0.1
# Requests sent at most this long after SIGTERM may be cut off if their engine is
# still at work in the last sixth of the grace period.
LAST_SENT_S = 3.0
LAST_SIXTH_S = GRACE_S * 5 / 6
# Arrivals of content that crashes engines, allowed later than ``STABLE_S`` after this
# many crashes.
CONTENT_CRASHES = 5
LATE_CONTENT = 3
# Requests in a window allowed to an engine that names a limit.
LIMIT_WINDOW_S, LIMIT_FACTOR, LIMIT_SLACK = 4.0, 1.5, 5


@define
class Exchange:
    """A caller's request and what it received in return.

    ``sent_at`` is when its last byte was sent, ``ended_at`` when its response or
    connection ended. ``sent`` is whether all of it was sent, ``cut`` whether the
    gateway closed the connection after that and before a complete response, and
    ``behind_close`` whether an earlier response announced that. One that takes a stream
    up names in ``resumes`` the request that has begun it.
    """

    request_id: str
    stream: bool
    response: bytearray = field(factory=bytearray)
    node: str = ""
    sent_at: float = 0.0
    ended_at: float = 0.0
    prefix: str = "/drafts/"
    key: str = "key-1"
    sent: bool = False
    cut: bool = False
    behind_close: bool = False
    resumes: str = ""
    first_event: int = 1


@frozen
class Run:
    """A request that an engine began to run, after ``last_event`` of its stream."""

    request_id: str
    engine: str
    at: float = 0.0
    software: str = ""
    last_event: int = 0


@frozen
class Crash:
    """A crash of an engine by the content of a request."""

    engine: str
    at: float


@define
class Limit:
    """A limit in requests per second that an engine names."""

    engine: str
    rate: float
    at: float
    until: float = math.inf


@define
class Disruption:
    """A fault of a gateway, an engine or the store; ``planned`` if it is an order."""

    scope: str
    start: float
    end: float = math.inf
    planned: bool = False


@define
class Termination:
    """A SIGTERM, and when and with which status the process ended."""

    node: str
    at: float
    ended_at: float = math.inf
    status: int | None = None


@define
class Leave:
    """The time from an engine's announcement that it leaves to its return."""

    engine: str
    at: float
    until: float = math.inf


@frozen
class Configuration:
    """A configuration's acknowledgement time, route prefixes and keys."""

    written_at: float
    routes: frozenset
    keys: frozenset

    def allows(self, exchange):
        return exchange.prefix in self.routes and exchange.key in self.keys


@define
class Record:
    """What callers and engines recorded in one run, in the time of the event loop.

    ``events`` is the number of events of a complete stream. ``orders`` holds
    (engine, lease holder, fencing token), ``lines`` the log lines of each process.
    ``fatal_runs`` are the arrivals of requests that crash engines, ``crashes`` the
    crashes, ``limits`` what engines say they take.
    ``exits`` names gateways that exited unexpectedly, ``unserved`` (gateway,
    whether a stream) those that no longer serve after the faults.
    """

    events: int
    exchanges: list = field(factory=list)
    runs: list = field(factory=list)
    fatal_runs: list = field(factory=list)
    crashes: list = field(factory=list)
    limits: list = field(factory=list)
    orders: list = field(factory=list)
    lines: dict = field(factory=dict)
    exits: list = field(factory=list)
    unserved: list = field(factory=list)
    disruptions: list = field(factory=list)
    terminations: list = field(factory=list)
    leaves: list = field(factory=list)
    configurations: list = field(factory=list)

    def runs_by_request(self):
        found = defaultdict(list)
        for run in self.runs:
            found[run.request_id].append(run)
        return found

    def undisturbed(self, scopes, start, end, planned_work=False):
        """Whether ``scopes`` are free of disruptions until ``end``.

        Those that ended less than ``STABLE_S`` before ``start`` count too, those by
        planned work do not if ``planned_work`` is set.
        """
        return not any(
            disruption.scope in scopes
            and disruption.start <= end
            and disruption.end >= start - STABLE_S
            and not (planned_work and disruption.planned)
            for disruption in self.disruptions
        )

    def in_force(self, since, until):
        """Return the configurations that may be in force in a span of time."""
        written = [c for c in self.configurations if c.written_at <= until]
        superseded = [c for c in written if c.written_at <= since][:-1]
        return written[len(superseded) :]


def status(response):
    """Return the status code of a raw response, or 0 if there is none."""
    found = re.match(rb"HTTP/1\.1 (\d+) ", response)
    return int(found.group(1)) if found else 0


def content_length(head):
    """Return the length that the head of a response states, or None."""
    found = re.search(rb"(?i)content-length: *(\d+)", head)
    return int(found.group(1)) if found else None


def announces_close(response):
    """Whether a raw response has the header ``Connection: close``."""
    head = response.partition(b"\r\n\r\n")[0]
    return b"\r\nconnection: close" in head.lower()


def retry_after_s(response):
    """Return the seconds that a response asks to wait, 0 if it doesn't."""
    head = response.partition(b"\r\n\r\n")[0]
    found = re.search(rb"(?i)\r\nretry-after: *([\d.]+)", head)
    return float(found.group(1)) if found else 0.0


def is_complete(response):
    """Whether a raw response has arrived completely."""
    head, separator, body = response.partition(b"\r\n\r\n")
    length = content_length(head)
    if length is not None:
        return bool(separator) and len(body) == length
    return body.endswith(b"0\r\n\r\n")


def is_signed(response):
    """Whether a response is an engine's, which the gateway passed on."""
    return b"\r\nX-Stamp:" in response.partition(b"\r\n\r\n")[0]


def event_numbers(response):
    """Return the numbers of the complete events in a response."""
    return [int(number) for number in re.findall(rb"data: piece-(\d+)\n\n", response)]


def is_served(response, events):
    """Whether a response is successful and complete."""
    if status(response) != 200 or not is_complete(response):
        return False
    numbers = event_numbers(response)
    return not numbers or numbers[-1] == events


def served_counts(record):
    """Return how many requests that all configurations allow were served, of all."""
    served = [
        is_served(exchange.response, record.events)
        for exchange in record.exchanges
        if all(c.allows(exchange) for c in record.configurations)
    ]
    return sum(served), len(served)


def violations(record):
    """Return one line for each violated invariant."""
    found = []
    runs = record.runs_by_request()
    for exchange in record.exchanges:
        for check in _EXCHANGE_CHECKS:
            found += [
                f"{exchange.request_id} at {exchange.node}, "
                f"{exchange.sent_at:.2f} to {exchange.ended_at:.2f}: {text}"
                for text in check(record, exchange, runs[exchange.request_id])
            ]
    found += _order_violations(record)
    found += _drain_violations(record)
    found += _termination_violations(record)
    found += _content_violations(record)
    found += _limit_violations(record)
    found += _software_violations(record)
    for name, lines in record.lines.items():
        versions = [
            line["version"] for line in lines if line.get("event") == "configuration"
        ]
        if versions != sorted(versions):
            found.append(f"{name} applied an older configuration: {versions}")
    found += [f"{node} exited unexpectedly" for node in record.exits]
    found += [
        f"{node} does not serve (stream: {is_stream})"
        for node, is_stream in record.unserved
    ]
    return found


def _run_violations(record, exchange, runs):
    status_code = status(exchange.response)
    if not exchange.stream and len(runs) > 1:
        yield f"ran {len(runs)} times"
    if status_code in NOT_RUN_STATUSES and runs:
        yield f"was refused with {status_code} but ran"


def _response_violations(record, exchange, runs):
    response = exchange.response
    if response and not status(response):
        yield f"got bytes that are no response: {bytes(response[:60])!r}"
    if status(response) != 200:
        return
    if not runs:
        yield "got status 200 but did not run"
    ids = re.findall(rb"(?i)x-request-id: *(\S+)", response)
    if any(response_id.decode() != exchange.request_id for response_id in ids):
        yield f"got the response of {ids}"
    if not exchange.stream:
        body = response.partition(b"\r\n\r\n")[2]
        if is_complete(response) and body != exchange.request_id.encode():
            yield f"got the body {bytes(body)!r}"
        return
    numbers = event_numbers(response)
    first = exchange.first_event
    if numbers != list(range(first, first + len(numbers))):
        yield f"got the events {numbers}"
    if is_complete(response) and first + len(numbers) != record.events + 1:
        yield f"ended after {len(numbers)} events as if complete"


def _lost_violations(record, exchange, runs):
    """Check that no request is cut off by planned work, or by none at all."""
    if not exchange.cut or is_complete(exchange.response):
        return
    if exchange.ended_at - exchange.sent_at > DEADLINE_S - DEADLINE_MARGIN_S:
        return
    # A request without a run may have been lost on the link of any engine.
    scopes = {exchange.node, *(run.engine for run in runs or record.runs)}
    if not record.undisturbed(
        scopes, exchange.sent_at, exchange.ended_at, planned_work=True
    ):
        return
    outlasts_grace = any(
        term.node == exchange.node
        and exchange.sent_at <= term.at + LAST_SENT_S
        and term.at + LAST_SIXTH_S <= exchange.ended_at <= term.ended_at + LOST_S
        for term in record.terminations
    )
    if runs and not outlasts_grace:
        yield "was passed on and got no complete response"
    late = exchange.ended_at - exchange.sent_at > LOST_S
    if not runs and late and not exchange.behind_close:
        yield "got no response"


def _configuration_violations(record, exchange, runs):
    """Check runs and refusals against the configurations that may be in force.

    These are all of the run, for a gateway that was disrupted.
    """
    since = exchange.sent_at - CONFIG_S
    scopes = {exchange.node, STORE}
    if not record.undisturbed(scopes, exchange.sent_at, exchange.ended_at):
        since = -math.inf
    allowed = [c.allows(exchange) for c in record.in_force(since, exchange.ended_at)]
    status_code = status(exchange.response)
    if runs and not any(allowed):
        yield f"ran with {exchange.prefix} and {exchange.key} not in force"
    if (
        400 <= status_code < 500
        and status_code not in NOT_RUN_STATUSES
        and not is_signed(exchange.response)
        and all(allowed)
    ):
        yield f"got {status_code} though {exchange.prefix}, {exchange.key} are in force"


_EXCHANGE_CHECKS = (
    _run_violations,
    _response_violations,
    _lost_violations,
    _configuration_violations,
)


def _order_violations(record):
    holders_by_token = defaultdict(set)
    for _, holder, token in record.orders:
        holders_by_token[token].add(holder)
    for token, holders in holders_by_token.items():
        if len(holders) > 1:
            yield f"{sorted(holders)} sent orders with the same fencing token {token}"


def _drain_violations(record):
    nodes = {exchange.request_id: exchange.node for exchange in record.exchanges}
    for leave in record.leaves:
        for run in record.runs:
            if run.engine != leave.engine or not (
                leave.at + DRAIN_S < run.at < leave.until
            ):
                continue
            scopes = {nodes.get(run.request_id), leave.engine}
            if record.undisturbed({STORE}, leave.at, run.at) and record.undisturbed(
                scopes, run.at, run.at
            ):
                late_s = run.at - leave.at
                yield (
                    f"{run.request_id} reached {run.engine} {late_s:.2f} s after it "
                    f"announced that it leaves, sent by {nodes.get(run.request_id)}"
                )


def _content_violations(record):
    """Check that content that crashes engines stops reaching them."""
    crashes = sorted(crash.at for crash in record.crashes)
    if len(crashes) < CONTENT_CRASHES:
        return
    bound = crashes[CONTENT_CRASHES - 1] + STABLE_S
    nodes = {exchange.request_id: exchange.node for exchange in record.exchanges}
    late = [
        run
        for run in record.fatal_runs
        if run.at > bound
        and record.undisturbed({STORE, nodes.get(run.request_id)}, run.at, run.at)
    ]
    if len(late) > LATE_CONTENT:
        yield (
            f"content that had crashed {len(crashes)} engines reached engines "
            f"{len(late)} times later than {bound:.2f}: {late}"
        )


def _limit_violations(record):
    """Check that engines get no more requests than they say they take."""
    nodes = {exchange.request_id: exchange.node for exchange in record.exchanges}
    for limit in record.limits:
        times = [
            run.at
            for run in record.runs
            if run.engine == limit.engine
            and limit.at + STABLE_S <= run.at < limit.until
            and record.undisturbed({nodes.get(run.request_id)}, run.at, run.at)
        ]
        allowed = LIMIT_FACTOR * limit.rate * LIMIT_WINDOW_S + LIMIT_SLACK
        most = max(
            (sum(t <= at < t + LIMIT_WINDOW_S for at in times) for t in times),
            default=0,
        )
        if most > allowed:
            yield (
                f"{limit.engine} named a limit of {limit.rate:.2f} at {limit.at:.2f} "
                f"and got {most} requests in {LIMIT_WINDOW_S} s"
            )


def _software_violations(record):
    """Check that streams go on at the software version that has begun them."""
    streams = {e.request_id: e.resumes or e.request_id for e in record.exchanges}
    runs = {}
    for run in sorted(record.runs, key=lambda run: run.at):
        earlier = runs.setdefault(streams.get(run.request_id), [])
        begun = [r.software for r in earlier if r.last_event < run.last_event]
        if begun and begun[-1] != run.software:
            yield (
                f"{run.request_id} goes on at {run.engine}, version {run.software}, "
                f"after event {run.last_event} of version {begun[-1]}"
            )
        earlier.append(run)


def _termination_violations(record):
    for term in record.terminations:
        if not record.undisturbed(
            {term.node}, term.at, term.ended_at, planned_work=True
        ):
            continue
        if term.status != 0:
            yield f"{term.node} exited with {term.status} after SIGTERM"
        if term.ended_at > term.at + GRACE_S:
            took_s = term.ended_at - term.at
            yield f"{term.node} took {took_s:.2f} s to exit after SIGTERM"


def summary(record):
    """Return counts of what the run covered, by name."""
    counts = Counter(
        status(exchange.response) for exchange in record.exchanges if exchange.sent
    )
    return {
        "cut": sum(exchange.cut for exchange in record.exchanges),
        "refused": sum(counts[code] for code in NOT_RUN_STATUSES),
        "denied": counts[401] + counts[404],
        "terminations": len(record.terminations),
        "leaves": len(record.leaves),
        "configurations": len(record.configurations),
        "crashes": len(record.crashes),
        "limits": len(record.limits),
    }
