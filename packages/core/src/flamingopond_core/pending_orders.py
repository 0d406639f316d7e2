"""Unsettled orders and their limits."""

from __future__ import annotations

import math

import attrs

from flamingopond_core.reports import Order


@attrs.frozen
class LedgerLimits:
    """Limits of an engine's open orders.

    ``resend_after_s``: an unanswered order is sent again to an engine that checks
    fencing; on any other engine it may be lost, and no moves are planned there until it
    is abandoned. ``abandon_after_s``: an unanswered order no longer blocks others, at
    once if the engine has restarted; its memory stays reserved.
    ``max_delivery_delay_s``: no order reaches an engine later than this after it was
    written; matters only after a restart of the engine.
    """

    resend_after_s: float = 3.0
    abandon_after_s: float = 30.0
    max_delivery_delay_s: float = 600.0
    max_open_orders: int = 8


@attrs.define
class PendingOrder:
    """An order that no report has shown as settled.

    ``send_ended_at`` is when the sending call ended, infinite while this owner does not
    know. ``bound_to_instance`` is set once ``instance`` has answered the order or sent
    a report requested after the sending call ended: no later instance can then receive
    the order. ``resend_from`` is when an order that this owner may never have sent can
    be sent again. ``outlived_instance`` is set if the engine has restarted and the
    order may have been for its former process.
    """

    order: Order
    written_at: float
    instance: str
    send_ended_at: float = math.inf
    accepted: bool = False
    bound_to_instance: bool = False
    resend_from: float = math.inf
    outlived_instance: bool = False
