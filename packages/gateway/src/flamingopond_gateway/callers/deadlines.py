"""Tickets of requests: their deadlines, priorities and Retry-After times."""

from __future__ import annotations

import math
import random

import xxhash

from ..configuration import Route, RouteKind, Workspace
from ..dispatch.fair_order import MAX_RETRY_AFTER_FRACTION
from ..dispatch.tickets import Ticket
from ..requests import Request

# Time-out of callers that send none; the route may lower it.
DEFAULT_TIMEOUT_S = 30.0
# The gateway sends its final response this long before the caller's deadline, so
# that it arrives in time.
RESPONSE_MARGIN_S = 0.05
# Priorities sent to targets range from 0 (highest) to 9; requests that have missed
# their objective yield to the others.
LATE_PRIORITY_PENALTY = 4
MAX_PRIORITY = 9
# Retry-After of refused requests without a wait estimate.
DEFAULT_RETRY_AFTER_S = 0.5
# Retry-After as a fraction of the estimated wait.
RETRY_AFTER_WAIT_FRACTION = 0.5
# Part of the wait over which the returns of refused callers are spread.
RETRY_SPREAD = 0.5
# Callers who can't be served when they come back are given a Retry-After of at least
# this multiple of the longest one that they accept.
HOPELESS_WAIT_RATIO = 1.5
# A wait is told some milliseconds after it was estimated.
RETRY_AFTER_TOLERANCE_S = 0.05
# Typical time from sending a request to the first event of its response.
EXPECTED_FIRST_EVENT_S = 0.25


def suggest_retry_after_s(
    ticket: Ticket, wait_s: float, now: float, spread: bool = False
) -> float:
    """Return the Retry-After time, which ends before the backlog is served.

    A caller retries at most once, and waits no longer than a third of the time to
    its deadline. With ``spread``, callers that were refused together come back one
    after another by the end of the wait; they are preferred then. A longer wait is
    told, so that a caller who can't be served doesn't come back in vain.
    """
    max_s = max(ticket.deadline - now, 0.0) * MAX_RETRY_AFTER_FRACTION
    if spread:
        if wait_s > max_s + RETRY_AFTER_TOLERANCE_S:
            # The wait is infinite if its end isn't known.
            known_s = wait_s if math.isfinite(wait_s) else 0.0
            return max(known_s, HOPELESS_WAIT_RATIO * max_s)
        latest_s = min(max(wait_s, DEFAULT_RETRY_AFTER_S), max_s)
        draw = xxhash.xxh32_intdigest(ticket.request.id.encode()) / 2**32
        return latest_s * (1 - RETRY_SPREAD * draw)
    return min(max(wait_s * RETRY_AFTER_WAIT_FRACTION, DEFAULT_RETRY_AFTER_S), max_s)


def target_priority(ticket: Ticket, now: float) -> int | None:
    """Return the priority for the target's own queue, from 0 (highest) to 9."""
    if ticket.model is None:
        return None
    if ticket.resuming:
        return 0
    penalty = LATE_PRIORITY_PENALTY if ticket.late(now) else 0
    return min(max(ticket.priority_rank, 0) + penalty, MAX_PRIORITY)


def make_ticket(request: Request, route: Route, workspace: Workspace | None) -> Ticket:
    """Return a request's ticket; a workspace's priority overrides its route's."""
    caller_timeout_s = DEFAULT_TIMEOUT_S
    if request.timeout_s is not None:
        caller_timeout_s = request.timeout_s
    caller_timeout_s = max(
        min(caller_timeout_s - RESPONSE_MARGIN_S, route.timeout_s), 0.0
    )
    deadline = request.arrived_at + caller_timeout_s
    queue_deadline = deadline
    if route.stall_s is not None:
        queue_deadline = (
            min(deadline, request.arrived_at + route.stall_s) - EXPECTED_FIRST_EVENT_S
        )
    priority_rank = route.priority
    if workspace is not None and workspace.priority is not None:
        priority_rank = workspace.priority
    return Ticket(
        request=request,
        route=route,
        service=route.service_for(random.random()),
        workspace=workspace,
        arrived_at=request.arrived_at,
        objective_deadline=request.arrived_at + route.objective_s,
        deadline=deadline,
        queue_deadline=queue_deadline,
        priority_rank=priority_rank,
        last_event_id=request.last_event_id,
        taken_up=route.kind is RouteKind.STREAM
        and (request.last_event_id is not None or request.resumes is not None),
    )
