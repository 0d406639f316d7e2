"""Orders that are not settled, and how long they are waited for."""

from __future__ import annotations

import math

import attrs

from flamingopond_core.reports import Order


@attrs.frozen
class LedgerLimits:
    """Times in seconds.

    ``resend_s``: an engine that checks fencing gets an unanswered order again.
    ``abandon_s``: an unanswered order no longer blocks others; its memory stays
    reserved. ``late_s``: no order reaches an engine later than this after it was
    written; only a restarted engine makes use of it.
    """

    resend_s: float = 3.0
    abandon_s: float = 30.0
    late_s: float = 600.0
    parallel: int = 8


@attrs.define
class PendingOrder:
    """An order that no report has shown as settled.

    ``sent_at`` is when the sending call ended, infinite while this owner does not
    know that. ``reached`` is set once ``instance`` answered the order, or a
    report asked for later came from it: the order cannot reach a later instance
    then.
    """

    order: Order
    written_at: float
    instance: str
    sent_at: float = math.inf
    accepted: bool = False
    reached: bool = False
