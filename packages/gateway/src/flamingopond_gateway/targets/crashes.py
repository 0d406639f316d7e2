"""Finds the content of requests that crashes the targets which begin to answer it.

A crash leaves the requests that its target had not begun to answer as suspects, and
with them their traits: the prompt parts that other requests share, and the request as
a whole. An answer that begins clears the traits of its request. A trait is named, and
requests with it are refused, once several crashes in a row have no other explanation.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import xxhash
from attrs import define, field, frozen

from ..messages import PublishedExposure, PublishedSuspect
from ..requests import Request

# Crashes in a row after which a trait is named.
NAMED_CRASHES = 3
# The same for a trait whose requests have been answered before: it may be popular, and
# be in flight at every crash.
NAMED_CRASHES_ANSWERED = 4
# A shared prompt part is named only if crashes hit this many requests with it. One
# request that crashes targets is named by its own fingerprint.
MIN_REQUESTS_OF_PART = 2
# Crashes and begun answers are remembered for this long.
RETENTION_S = 3600.0
# Requests with a named trait are refused for this long; doubled at each renewal.
FIRST_BAN_S = 3600.0
MAX_BAN_S = 86400.0
# Cleared suspects are published for this long, so that all gateways learn of it.
CLEARED_PUBLISHED_S = 10.0
# Suspects of one crash are published for this long; a second crash may come later.
SINGLE_CRASH_PUBLISHED_S = 60.0
# Suspects kept, and those sent in one message; named ones first, then the newest.
MAX_SUSPECTS = 256
MAX_PUBLISHED = 64
# Crashes kept for each trait.
MAX_CRASHES_PER_TRAIT = 16
# Traits with a begun answer that are remembered.
MAX_BEGUN_TRAITS = 4096
# The kind of a trait is the lowest bit of its key.
_KIND_BIT = 1


@frozen
class Trait:
    """Content by which requests that crash targets are recognised.

    ``label`` names it in logs: the id of a prompt part, or a request's fingerprint.
    """

    key: int
    label: str

    @property
    def is_part(self) -> bool:
        """Whether it is a prompt part, not a request as a whole."""
        return not self.key & _KIND_BIT


@frozen
class RequestTraits:
    """All traits of a request: its shared prompt parts, then its fingerprint."""

    traits: tuple[Trait, ...]

    @property
    def fingerprint(self) -> Trait:
        """The trait that stands for the request as a whole."""
        return self.traits[-1]

    @property
    def part_labels(self) -> tuple[str, ...]:
        """Ids of the shared prompt parts."""
        return tuple(trait.label for trait in self.traits[:-1])


def request_traits(service: str, request: Request) -> RequestTraits:
    """Return the traits of a request; the last prompt part is its own."""
    parts = request.generation.parts if request.generation is not None else ()
    shared = tuple(
        Trait(_digest(service, part.id) & ~_KIND_BIT, part.id) for part in parts[:-1]
    )
    generation = "" if request.generation is None else str(request.generation)
    key = _digest(
        service,
        request.method,
        request.url,
        request.key or "",
        generation,
        xxhash.xxh3_64_hexdigest(request.body),
    )
    fingerprint = Trait(key | _KIND_BIT, f"{key | _KIND_BIT:016x}")
    return RequestTraits((*shared, fingerprint))


def crash_key(target_id: str, start_id: int) -> int:
    """Return the key of the crash of one incarnation of a target."""
    return _digest(target_id, str(start_id))


def _digest(*texts: str) -> int:
    digest: int = xxhash.xxh3_64_intdigest("\0".join(texts).encode())
    return digest


@frozen
class Exposure:
    """A request that a target had not begun to answer when it crashed.

    ``crash`` and ``request`` are keys of the crash and of the request's fingerprint.
    Times are in seconds of the event loop's clock.
    """

    crash: int
    request: int
    sent_at: float
    crashed_at: float


@define(eq=False)
class Suspect:
    """A trait of requests that were in flight at crashes.

    ``begun_at`` is when a target last began to answer a request with it, ``named_at``
    when it was last named, ``bans`` how often.
    """

    trait: Trait
    exposures: dict[int, Exposure] = field(factory=dict)
    begun_at: float = -math.inf
    named_at: float = -math.inf
    bans: int = 0

    @property
    def last_crash_at(self) -> float:
        """Time of the newest crash, or of the naming if its crashes are not known."""
        return max(
            (e.crashed_at for e in self.exposures.values()), default=self.named_at
        )

    @property
    def cleared(self) -> bool:
        """Whether an answer to a request with the trait has begun since the crashes."""
        return self.begun_at > self.last_crash_at

    @property
    def banned_until(self) -> float:
        """When requests with the trait may be tried again."""
        ban_s = min(FIRST_BAN_S * 2.0 ** max(self.bans - 1, 0), MAX_BAN_S)
        return self.named_at + ban_s

    def is_named(self, now: float) -> bool:
        """Whether requests with the trait are refused."""
        return now < self.banned_until and not self.cleared

    def name(self, at: float) -> None:
        """Refuse requests with the trait from now on."""
        self.named_at = at
        self.bans += 1

    def record_begun(self, at: float) -> None:
        """Record when an answer to a request with the trait has begun."""
        self.begun_at = max(self.begun_at, at)
        if self.cleared:
            self.withdraw_name()

    def withdraw_name(self) -> None:
        """Allow requests with the trait again."""
        self.named_at = -math.inf
        self.bans = 0

    def add(self, exposure: Exposure) -> bool:
        """Add an exposure; returns False if its crash is known."""
        if exposure.crash in self.exposures:
            return False
        self.exposures[exposure.crash] = exposure
        if len(self.exposures) > MAX_CRASHES_PER_TRAIT:
            oldest = min(self.exposures.values(), key=lambda e: e.crashed_at)
            del self.exposures[oldest.crash]
        return True

    def open_exposures(self, named: Iterable[Suspect]) -> list[Exposure]:
        """Return the exposures since the last begun answer that nothing else explains.

        A crash is explained by a named prompt part that was in flight there.
        """
        others = [s for s in named if s is not self and s.trait.is_part]
        return sorted(
            (
                exposure
                for exposure in self.exposures.values()
                if exposure.crashed_at > self.begun_at
                and not any(exposure.crash in other.exposures for other in others)
            ),
            key=lambda exposure: exposure.crashed_at,
        )


def crashes_in_a_row(exposures: Sequence[Exposure]) -> int:
    """Return how many crashes followed one another, each met after the one before.

    ``exposures`` are sorted by the time of the crash. Crashes of several targets at
    the same time, as when a rack loses power, count as one: the requests in flight had
    been sent before the first of them.
    """
    count = 0
    last_crash_at = -math.inf
    for exposure in exposures:
        if exposure.sent_at > last_crash_at:
            count += 1
            last_crash_at = exposure.crashed_at
    return count


def crash_score(exposures: Sequence[Exposure]) -> float:
    """Return the weight of exposures as evidence, in crashes in a row.

    Once a crash has been repeated, simultaneous ones count half: then the trait spread
    with several requests at a time.
    """
    in_a_row = crashes_in_a_row(exposures)
    if in_a_row < 2:
        return in_a_row
    return in_a_row + (len(exposures) - in_a_row) / 2


@define(eq=False)
class CrashEvidence:
    """Suspects that this gateway knows of, from its own requests and from others.

    ``revision`` grows with each change, ``local_changes`` with those that the other
    gateways can't know of yet.
    """

    revision: int = 0
    local_changes: int = 0
    _suspects: dict[int, Suspect] = field(factory=dict)
    _begun: dict[int, float] = field(factory=dict)

    def named(self, traits: RequestTraits, now: float) -> Suspect | None:
        """Return the first of a request's traits that is named."""
        if not self._suspects:
            return None
        for trait in traits.traits:
            suspect = self._suspects.get(trait.key)
            if suspect is not None and suspect.is_named(now):
                return suspect
        return None

    def all_named(self, now: float) -> list[Suspect]:
        """Return the suspects that are named."""
        return [s for s in self._suspects.values() if s.is_named(now)]

    def get(self, trait: Trait) -> Suspect | None:
        """Return what is known of a trait that was in flight at a crash."""
        return self._suspects.get(trait.key)

    def record_begun(self, traits: RequestTraits, now: float) -> list[Suspect]:
        """Record that a target goes on with its answer to a request.

        Returns the suspects that were named until then.
        """
        cleared = []
        for trait in traits.traits:
            suspect = self._suspects.get(trait.key)
            if suspect is not None:
                if suspect.is_named(now):
                    cleared.append(suspect)
                if not suspect.cleared:
                    self._count_local_change()
                suspect.record_begun(now)
            if trait.is_part:
                self._remember_begun(trait.key, now)
        return cleared

    def record_crash(
        self, traits: RequestTraits, crash: int, sent_at: float, now: float
    ) -> None:
        """Record that a target crashed before it began to answer a request."""
        request = traits.fingerprint.key
        exposure = Exposure(crash, request, sent_at, now)
        for trait in traits.traits:
            if self._suspect(trait).add(exposure):
                self._count_local_change()
        self._drop_excess(now)

    def merge(self, published: Iterable[PublishedSuspect], now: float) -> list[Suspect]:
        """Add what another gateway knows; returns the suspects that it has named."""
        named = [
            suspect for entry in published if (suspect := self._merge_entry(entry, now))
        ]
        self._drop_excess(now)
        return named

    def restore(self, trait: Trait, now: float) -> None:
        """Name a trait that was named before all gateways restarted."""
        suspect = self._suspect(trait)
        if not suspect.is_named(now):
            suspect.name(now)
            self.revision += 1

    def publish(self, now: float) -> list[PublishedSuspect]:
        """Return the suspects to tell other gateways of, the gravest first."""
        self._expire(now)
        chosen = [s for s in self._suspects.values() if _is_published(s, now)]
        chosen.sort(key=lambda suspect: _rank(suspect, now))
        return [_encode(suspect, now) for suspect in chosen[:MAX_PUBLISHED]]

    def _merge_entry(self, entry: PublishedSuspect, now: float) -> Suspect | None:
        """Add what another gateway knows of a suspect; return it if it is named now."""
        suspect = self._suspect(Trait(entry.key, entry.label))
        for item in entry.exposures:
            crashed_at = now - item.crash_age_ms / 1000
            sent_at = now - item.sent_age_ms / 1000
            if suspect.add(Exposure(item.crash, item.request, sent_at, crashed_at)):
                self.revision += 1
        begun_at = _time_of(entry.begun_age_ms, now)
        if not suspect.cleared and begun_at > suspect.last_crash_at:
            self.revision += 1
        suspect.record_begun(begun_at)
        named_at = _time_of(entry.named_age_ms, now)
        is_newer = not suspect.bans or named_at > suspect.banned_until
        is_named = named_at > -math.inf and is_newer and not suspect.cleared
        if is_named:
            suspect.name(named_at)
            self.revision += 1
        if suspect.cleared and begun_at <= suspect.last_crash_at:
            # The sender does not know that an answer has begun since the crash.
            self._count_local_change()
        return suspect if is_named else None

    def _count_local_change(self) -> None:
        self.revision += 1
        self.local_changes += 1

    def _suspect(self, trait: Trait) -> Suspect:
        suspect = self._suspects.get(trait.key)
        if suspect is None:
            begun_at = self._begun.get(trait.key, -math.inf)
            suspect = self._suspects[trait.key] = Suspect(trait, begun_at=begun_at)
        return suspect

    def review(
        self, settle_s: float, now: float, contact_since: float = -math.inf
    ) -> list[Suspect]:
        """Name suspects until no crashes in a row are left unexplained; return them.

        Answers that have begun at other gateways are known here within ``settle_s``
        (seconds), so that younger crashes don't suffice. A gateway that was cut off
        knows them that long after ``contact_since``, when it heard others again; until
        then it names only a part that its own evidence singles out. Of traits whose
        requests have been answered before, none is named while there are others.
        """
        newly_named: list[Suspect] = []
        heard_others = now - settle_s >= contact_since
        self._withdraw_explained(now)
        while True:
            named = self.all_named(now)
            weights = {
                suspect.trait.key: (
                    suspect.begun_at == -math.inf,
                    score,
                    suspect.trait.is_part,
                )
                for suspect in self._suspects.values()
                if not suspect.is_named(now)
                and (score := _score(suspect, named, now - settle_s)) > 0
            }
            if not weights:
                return newly_named
            highest = max(weights.values())
            if not heard_others and not _is_clear(weights.values(), highest):
                return newly_named
            for key, weight in weights.items():
                if weight == highest:
                    suspect = self._suspects[key]
                    suspect.name(now)
                    self._count_local_change()
                    newly_named.append(suspect)

    def _withdraw_explained(self, now: float) -> None:
        """Clear named requests that were only beside a part that was named later."""
        parts = [s for s in self.all_named(now) if s.trait.is_part]
        for suspect in self.all_named(now):
            if suspect.trait.is_part or not suspect.exposures:
                continue
            if not suspect.open_exposures(parts):
                suspect.withdraw_name()
                self.revision += 1

    def _remember_begun(self, key: int, now: float) -> None:
        self._begun.pop(key, None)
        self._begun[key] = now
        if len(self._begun) > MAX_BEGUN_TRAITS:
            del self._begun[next(iter(self._begun))]

    def _expire(self, now: float) -> None:
        for key, suspect in list(self._suspects.items()):
            newest = suspect.begun_at
            retention_s = CLEARED_PUBLISHED_S
            if not suspect.cleared:
                newest = max(suspect.last_crash_at, suspect.banned_until)
                retention_s = RETENTION_S
            if now - newest > retention_s:
                del self._suspects[key]

    def _drop_excess(self, now: float) -> None:
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        ranked = sorted(self._suspects.values(), key=lambda s: _rank(s, now))
        self._suspects = {s.trait.key: s for s in ranked[:MAX_SUSPECTS]}


def _is_clear(
    weights: Iterable[tuple[bool, float, bool]], highest: tuple[bool, float, bool]
) -> bool:
    """Whether a single part without any answer has the highest weight."""
    never_answered, _, is_part = highest
    return never_answered and is_part and list(weights).count(highest) == 1


def _score(suspect: Suspect, named: Iterable[Suspect], settled_at: float) -> float:
    """Return the weight of the evidence against a suspect, 0 if it does not suffice.

    Its first crash must be older than ``settled_at``.
    """
    exposures = suspect.open_exposures(named)
    if not exposures or exposures[0].crashed_at > settled_at:
        return 0.0
    if suspect.bans:
        # After a ban has ended, one more crash renews it.
        return sum(e.crashed_at >= suspect.banned_until for e in exposures)
    requests = {exposure.request for exposure in exposures}
    if suspect.trait.is_part and len(requests) < MIN_REQUESTS_OF_PART:
        return 0.0
    if suspect.begun_at > -math.inf:
        in_a_row = crashes_in_a_row(exposures)
        return in_a_row if in_a_row >= NAMED_CRASHES_ANSWERED else 0.0
    score = crash_score(exposures)
    return score if score >= NAMED_CRASHES else 0.0


def _is_published(suspect: Suspect, now: float) -> bool:
    if suspect.cleared:
        return now - suspect.begun_at < CLEARED_PUBLISHED_S
    if suspect.is_named(now) or len(suspect.exposures) > 1:
        return True
    return now - suspect.last_crash_at < SINGLE_CRASH_PUBLISHED_S


def _rank(suspect: Suspect, now: float) -> tuple[bool, bool, int, float]:
    """Return the sort key of suspects, the gravest first."""
    crashes = len(suspect.exposures)
    return (
        not suspect.is_named(now),
        suspect.cleared,
        -crashes,
        -suspect.last_crash_at,
    )


def _encode(suspect: Suspect, now: float) -> PublishedSuspect:
    return PublishedSuspect(
        suspect.trait.key,
        suspect.trait.label,
        _age_ms(suspect.begun_at, now),
        _age_ms(suspect.named_at, now),
        [
            PublishedExposure(
                exposure.crash,
                exposure.request,
                _age_ms(exposure.sent_at, now),
                _age_ms(exposure.crashed_at, now),
            )
            for exposure in suspect.exposures.values()
        ],
    )


def _age_ms(at: float, now: float) -> int:
    return -1 if at == -math.inf else max(int(1000 * (now - at)), 0)


def _time_of(age_ms: int, now: float) -> float:
    return -math.inf if age_ms < 0 else now - age_ms / 1000
