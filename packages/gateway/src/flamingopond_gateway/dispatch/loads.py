"""Outstanding work of each target, from the requests of all gateways."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from ..messages import InFlightCount, TargetWork

# Work in a summary older than this is ignored.
SUMMARY_MAX_AGE_S = 2.0
# Mean age of the reports in a summary.
MEAN_REPORT_AGE_S = 0.05
# Fraction of its prefill rate that an engine is assumed to reach while it also decodes.
PREFILL_TIME_FRACTION = 0.6
# Time to prefill the prompts queued at an engine, as a fraction of the longest gap
# between events that its routes allow. An engine prefills prompts between the decode
# steps of its running streams, so more would exceed the gap. Prompts that wait at the
# gateway can still go to another engine, or after a more urgent request.
PREFILL_GAP_FRACTION = 0.25


@frozen
class Work:
    """In-flight requests at a target; the token counts are for model engines only.

    ``prefill_tokens`` counts prompt tokens not yet prefilled, ``kv_tokens`` the tokens
    that the requests will need in the target's KV cache.
    """

    requests: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0

    def __add__(self, other: Work) -> Work:
        """Add the work of two sources."""
        return Work(
            self.requests + other.requests,
            self.prefill_tokens + other.prefill_tokens,
            self.kv_tokens + other.kv_tokens,
        )

    def __sub__(self, other: Work) -> Work:
        """Subtract the work of finished requests."""
        return Work(
            self.requests - other.requests,
            self.prefill_tokens - other.prefill_tokens,
            self.kv_tokens - other.kv_tokens,
        )


NO_WORK = Work()


def encode_work(work: Mapping[str, Work]) -> list[TargetWork]:
    """Encode work by target for a message."""
    return [
        TargetWork(
            target,
            target_work.requests,
            target_work.prefill_tokens,
            target_work.kv_tokens,
        )
        for target, target_work in work.items()
    ]


def decode_work(entries: Iterable[TargetWork]) -> dict[str, Work]:
    """Decode the work by target of a message."""
    return {
        entry.target: Work(entry.requests, entry.prefill_tokens, entry.kv_tokens)
        for entry in entries
    }


@define
class WorkTable:
    """Work by target id: this gateway's own, and the sum of all others."""

    _own: dict[str, Work] = field(factory=dict)
    _peers: dict[str, Work] = field(factory=dict)
    _peers_at: float = float("-inf")

    @property
    def own(self) -> Mapping[str, Work]:
        """Work of this gateway's requests by target."""
        return self._own

    def add(self, target_id: str, work: Work) -> None:
        """Add a request that is sent to a target."""
        self._own[target_id] = self._own.get(target_id, NO_WORK) + work

    def remove(self, target_id: str, work: Work) -> None:
        """Remove a finished request, or the prefill that it has finished."""
        remaining = self._own.get(target_id, NO_WORK) - work
        if remaining == NO_WORK:
            self._own.pop(target_id, None)
        else:
            self._own[target_id] = remaining

    def own_requests(self, target_id: str) -> int:
        """Return the number of this gateway's requests at a target."""
        return self._own.get(target_id, NO_WORK).requests

    def update_peers(
        self, totals: Mapping[str, Work], reported: Mapping[str, Work], now: float
    ) -> None:
        """Update the peers' work: ``totals`` less what this gateway ``reported``."""
        self._peers = {
            target_id: _non_negative(work - reported.get(target_id, NO_WORK))
            for target_id, work in totals.items()
        }
        self._peers_at = now

    def prefill_backlog_tokens(
        self, target_id: str, prefill_tokens_per_s: float, now: float
    ) -> float:
        """Return the prompt tokens that a target has yet to prefill.

        The work of other gateways is as old as a report and a summary; the tokens
        that the target is likely to have prefilled since are subtracted.
        """
        own = self._own.get(target_id, NO_WORK).prefill_tokens
        peers = self._peers.get(target_id, NO_WORK).prefill_tokens
        age_s = now - self._peers_at + MEAN_REPORT_AGE_S
        return own + max(
            peers - age_s * prefill_tokens_per_s * PREFILL_TIME_FRACTION, 0.0
        )

    def can_accept_prompt(
        self,
        target_id: str,
        tokens: int,
        prefill_tokens_per_s: float,
        gap_s: float,
        now: float,
    ) -> bool:
        """Whether a prompt would pause the target's streams by at most ``gap_s``.

        Only the known backlog counts, without the new prompt, since the work of
        other gateways is out of date.
        """
        max_tokens = gap_s * PREFILL_GAP_FRACTION * prefill_tokens_per_s
        return (
            self.prefill_backlog_tokens(target_id, prefill_tokens_per_s, now)
            <= max_tokens
        )

    def expire(self, now: float) -> None:
        """Forget the work of other gateways once it is stale."""
        if now - self._peers_at > SUMMARY_MAX_AGE_S:
            self._peers = {}

    def at(self, target_id: str) -> Work:
        """Return the outstanding work of all gateways at a target."""
        own = self._own.get(target_id, NO_WORK)
        return own + self._peers.get(target_id, NO_WORK)


def _non_negative(work: Work) -> Work:
    return Work(
        max(work.requests, 0), max(work.prefill_tokens, 0), max(work.kv_tokens, 0)
    )


@define
class InFlightTable:
    """In-flight requests of this gateway by target, model and adapter."""

    _counts: dict[tuple[str, str, str], int] = field(factory=dict)

    def begin(self, target_id: str, model: str, adapter: str | None) -> None:
        """Count a request that is sent to a target."""
        key = (target_id, model, adapter or "")
        self._counts[key] = self._counts.get(key, 0) + 1

    def end(self, target_id: str, model: str, adapter: str | None) -> None:
        """Remove a request that has ended."""
        key = (target_id, model, adapter or "")
        remaining = self._counts.get(key, 0) - 1
        if remaining > 0:
            self._counts[key] = remaining
        else:
            self._counts.pop(key, None)

    def counts(self) -> list[InFlightCount]:
        """Return the counts to report to the lease holder."""
        return [InFlightCount(*key, count) for key, count in self._counts.items()]
