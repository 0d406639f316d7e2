"""Which targets this gateway reaches by itself, from its own connections."""

from __future__ import annotations

from attrs import define, field

from ..settings import Address

# A target that could not be connected to is tried through another gateway for this
# long. A probe that connects ends it earlier.
DIRECT_RETRY_S = 1.0
# A gateway counts as cut off from all targets once as many can't be connected to in a
# row, with no answer from any for CUT_OFF_AFTER_S. One, or two at the same moment, may
# have failed themselves.
CUT_OFF_TARGETS = 2
CUT_OFF_AFTER_S = 0.5
# Shortest time between two probes, whatever the number of targets.
PROBE_PERIOD_S = 0.5
# Targets that are remembered, the newest failures.
MAX_FAILED = 1000


@define
class Reachability:
    """Outcomes of this gateway's own connections to targets.

    Times are in seconds of the event loop's clock.
    """

    _failed_at: dict[Address, float] = field(factory=dict)
    # Targets that have failed since the last answer from any of them, and when.
    _failed_in_a_row: dict[Address, float] = field(factory=dict)
    _cut_off_at: float | None = None
    _probed_at: float = float("-inf")

    @property
    def in_doubt(self) -> bool:
        """Whether several targets have failed in a row."""
        return len(self._failed_in_a_row) >= CUT_OFF_TARGETS

    @property
    def cut_off(self) -> bool:
        """Whether no target can be connected to, for all that is known."""
        return self._cut_off_at is not None

    def cut_off_s(self, now: float) -> float:
        """Return for how long no target has been reached, 0 if one is."""
        return 0.0 if self._cut_off_at is None else now - self._cut_off_at

    def detours(self, address: Address, now: float) -> bool:
        """Whether a target should be reached through another gateway."""
        failed_at = self._failed_at.get(address, float("-inf"))
        return self.cut_off or now - failed_at < DIRECT_RETRY_S

    def record_connected(self, address: Address) -> bool:
        """Record a connection; return whether it shows that the cut has ended."""
        self._failed_at.pop(address, None)
        return self.record_answered()

    def record_answered(self) -> bool:
        """Record an answer on a direct connection; return whether it ends the cut.

        Open connections may live on while new ones are refused.
        """
        was_cut_off = self.cut_off
        self._failed_in_a_row.clear()
        self._cut_off_at = None
        return was_cut_off

    def record_failed(self, address: Address, now: float) -> bool:
        """Record a failed connection; return whether it shows that all are cut off."""
        self._failed_at.pop(address, None)
        self._failed_at[address] = now
        while len(self._failed_at) > MAX_FAILED:
            del self._failed_at[next(iter(self._failed_at))]
        if self.cut_off:
            return False
        self._failed_in_a_row.setdefault(address, now)
        first_at = min(self._failed_in_a_row.values())
        if self.in_doubt and now - first_at >= CUT_OFF_AFTER_S:
            self._cut_off_at = now
        return self.cut_off

    def failed_in_a_row(self, address: Address) -> bool:
        """Whether a target has failed since the last answer from any."""
        return address in self._failed_in_a_row

    def begin_probe(self, now: float) -> bool:
        """Return whether a probe is due, and count it if so."""
        if now - self._probed_at < PROBE_PERIOD_S:
            return False
        self._probed_at = now
        return True
