"""What targets say about themselves in the heads of their responses."""

from __future__ import annotations

import structlog
from attrs import define, field

from ..requests import ResponseHead
from .conditions import LeavingTargets, PausedTargets
from .roster import Target
from .target_load import TargetLoads

# Characters of a malformed value in a log line.
MAX_LOGGED_VALUE = 40
# Incarnations whose malformed headers are remembered, so that each is logged once.
MAX_MALFORMED = 1000

log = structlog.get_logger()


@define(eq=False)
class ResponseSignals:
    """Passes what responses say to the conditions of their targets.

    Every path that receives a response of a target calls :meth:`record`: forwarded
    requests, reports and orders.
    """

    leaving: LeavingTargets = field(factory=LeavingTargets)
    paused: PausedTargets = field(factory=PausedTargets)
    loads: TargetLoads = field(factory=TargetLoads)
    _malformed: dict[tuple[tuple[str, int], str], None] = field(factory=dict)

    def record(self, target: Target, response: ResponseHead, now: float) -> None:
        """Record the signals of a response to a request that ``target`` was sent.

        A response of another instance, which has taken over the address, says nothing
        about this one.
        """
        if response.instance is not None and response.instance != target.id:
            return
        for header, value in response.malformed:
            self._log_malformed(target, header, value)
        if response.leaving and self.leaving.record(target, now):
            log.info("target leaving", target=target.id, start_id=target.start_id)
        pause_s = response.pause_s
        if pause_s is not None and self.paused.record(target, pause_s, now):
            log.info(
                "target paused",
                target=target.id,
                start_id=target.start_id,
                pause_s=round(pause_s, 2),
            )

        percent = response.duration_percent
        if self.loads.record(target, response.load, percent, now):
            log.info(
                "target reports its speed",
                target=target.id,
                start_id=target.start_id,
                duration_percent=percent,
            )

    def _log_malformed(self, target: Target, header: str, value: str) -> None:
        """Log a value that is ignored, once for each header and incarnation."""
        key = (target.incarnation, header)
        if key in self._malformed:
            return
        self._malformed[key] = None
        if len(self._malformed) > MAX_MALFORMED:
            del self._malformed[next(iter(self._malformed))]
        log.warning(
            "malformed header of a target",
            target=target.id,
            header=header,
            value=value[:MAX_LOGGED_VALUE],
        )
