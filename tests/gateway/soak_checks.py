"""Invariants that the soak test checks on what callers and engines recorded."""

from __future__ import annotations

import re
from collections import Counter, defaultdict

from attrs import define, field

NOT_RUN_STATUSES = {408, 421, 429, 503}


@define
class Record:
    """What callers and engines recorded in one run.

    ``events`` is the number of events of a complete stream. ``responses`` holds
    (request id, whether a stream, raw response), ``runs`` (request id, engine),
    ``orders`` (engine, lease holder, fencing token), ``lines`` the log lines of
    each process. ``exits`` names gateways that exited unexpectedly, ``unserved``
    (gateway, whether a stream) those that no longer serve after the faults.
    """

    events: int
    responses: list = field(factory=list)
    runs: list = field(factory=list)
    orders: list = field(factory=list)
    lines: dict = field(factory=dict)
    exits: list = field(factory=list)
    unserved: list = field(factory=list)


def status(response):
    """Return the status code of a raw response, or 0 if there is none."""
    found = re.match(rb"HTTP/1\.1 (\d+) ", response)
    return int(found.group(1)) if found else 0


def is_complete(response):
    """Whether a raw response has arrived completely."""
    head, _, body = response.partition(b"\r\n\r\n")
    length = re.search(rb"(?i)content-length: *(\d+)", head)
    if length is not None:
        return len(body) == int(length.group(1))
    return body.endswith(b"0\r\n\r\n")


def event_numbers(response):
    """Return the numbers of the complete events in a response."""
    return [int(number) for number in re.findall(rb"data: piece-(\d+)\n\n", response)]


def is_served(response, events):
    """Whether a response is successful and complete."""
    if status(response) != 200 or not is_complete(response):
        return False
    numbers = event_numbers(response)
    return not numbers or numbers[-1] == events


def violations(record):
    """Return one line for each violated invariant."""
    found = []
    runs = Counter(request_id for request_id, _ in record.runs)
    for request_id, stream, response in record.responses:
        status_code = status(response)
        if not stream and runs[request_id] > 1:
            found.append(f"{request_id} ran {runs[request_id]} times")
        if status_code in NOT_RUN_STATUSES and runs[request_id]:
            found.append(f"{request_id} was refused with {status_code} but ran")
        if status_code == 200:
            found += _response_violations(record, request_id, stream, response, runs)
    found += _order_violations(record)
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


def _response_violations(record, request_id, stream, response, runs):
    if not runs[request_id]:
        yield f"{request_id} got status 200 but did not run"
    ids = re.findall(rb"(?i)x-request-id: *(\S+)", response)
    if any(response_id.decode() != request_id for response_id in ids):
        yield f"{request_id} got the response of {ids}"
    if not stream:
        body = response.partition(b"\r\n\r\n")[2]
        if is_complete(response) and body != request_id.encode():
            yield f"{request_id} got the body {body!r}"
        return
    numbers = event_numbers(response)
    if numbers != list(range(1, len(numbers) + 1)):
        yield f"{request_id} got the events {numbers}"
    if is_complete(response) and len(numbers) != record.events:
        yield f"{request_id} ended after {len(numbers)} events as if complete"


def _order_violations(record):
    holders_by_token = defaultdict(set)
    for _, holder, token in record.orders:
        holders_by_token[token].add(holder)
    for token, holders in holders_by_token.items():
        if len(holders) > 1:
            yield f"{sorted(holders)} sent orders with the same fencing token {token}"
