"""Whether a gateway has heard of all targets that were listed."""

from __future__ import annotations

from attrs import define

# A gateway in contact looks at the list each 0.25 s, and hears each 0.4 s at most what
# the others have seen. A busy machine is late by less than the rest.
MAX_GAP_S = 1.0


@define
class ListContinuity:
    """Since when a gateway may have missed targets that were listed and are gone.

    They leave no trace in the list. Times are of a clock that includes system suspend,
    in seconds.
    """

    _followed_at: float | None = None
    # Last time before the gap at which the list was followed, while there is a gap.
    _gap_from: float | None = None

    @property
    def has_gap(self) -> bool:
        """Whether a gap has ended of which nothing has been read."""
        return self._gap_from is not None

    def note_followed(self, now: float) -> bool:
        """Record contact with the others; return whether a gap has just ended."""
        before = self._followed_at
        ended = before is not None and self._gap_from is None and not self.unbroken(now)
        if ended:
            self._gap_from = before
        self._followed_at = now
        return ended

    def unbroken(self, now: float) -> bool:
        """Whether everything that was listed up to now is known."""
        return (
            self._followed_at is not None
            and not self.has_gap
            and now - self._followed_at <= MAX_GAP_S
        )

    def known_until(self, now: float) -> float:
        """Return the time up to which everything is known; minus infinity for none."""
        if self._gap_from is not None:
            return self._gap_from
        return now if self.unbroken(now) else self._known_until()

    def close(self, read_at: float) -> None:
        """Record that others' history has been read, by a call that began then."""
        self._gap_from = None
        self._followed_at = max(self._known_until(), read_at)

    def _known_until(self) -> float:
        return float("-inf") if self._followed_at is None else self._followed_at
