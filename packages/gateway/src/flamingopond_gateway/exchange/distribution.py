"""Decides who sends table rows to whom when many gateways need them at once.

A gateway serves no more pulls at a time than its link carries in a moment, and names
other holders of the rows to the rest. Each gateway that has the rows serves others in
turn, so that the time to reach all grows with the logarithm of their number.
"""

from __future__ import annotations

import math
import random

from attrs import define, field, frozen

from ..settings import BYTES_PER_S_PER_MBPS

# A gateway sends no more rows at once than its link carries in this time, as datagrams
# share the link. A single larger transfer is accepted.
MAX_BACKLOG_S = 0.05
# Transfers up to this size share a budget of their own, so that changes of a small
# table don't wait behind a large one.
SMALL_TRANSFER_BYTES = 16384
# Messages to many gateways are sent in bursts that the link carries in BURST_S, and
# take at most this fraction of it: what exceeds the queue of a link is lost, always at
# the same receivers.
BURST_S = 0.005
BURST_LINK_FRACTION = 0.5
# Other holders that a busy gateway names, and how many it remembers for each table.
NAMED_HOLDERS = 4
REMEMBERED_HOLDERS = 64
# Mean time before a busy holder is asked again; it doubles up to the maximum.
BUSY_RETRY_S = 0.03
MAX_BUSY_RETRY_S = 0.24
# Mean time before a holder is asked again that failed.
FAILED_RETRY_S = 1.0
# Longest wait for something to do.
MAX_WAIT_S = 10.0


def bursts(
    receivers: int, size: int, link_mbps: float, within_s: float
) -> list[tuple[float, int]]:
    """Return the delay in seconds and the number of receivers of each burst.

    They are those of a message of ``size`` bytes that all ``receivers`` get within
    ``within_s``, unless the link is too slow for it.
    """
    link_rate = link_mbps * BYTES_PER_S_PER_MBPS
    in_burst = max(int(link_rate * BURST_S / max(size, 1)), 1)
    count = math.ceil(receivers / in_burst)
    gap_s = max(in_burst * size / link_rate, BURST_S) / BURST_LINK_FRACTION
    gap_s = min(gap_s, within_s / max(count, 1))
    return [
        (number * gap_s, min(in_burst, receivers - number * in_burst))
        for number in range(count)
    ]


@define
class _Load:
    """Transfers under way: their bytes, and the sum of the receivers' link rates."""

    size: int = 0
    receivers_mbps: float = 0.0


@define
class UploadBudget:
    """Limits what a gateway sends in pulls at the same time.

    ``link_mbps`` is the rate of its link. The link is not busy while the receivers'
    links are slower than it is, or while it can send all that is under way within
    ``MAX_BACKLOG_S``. One transfer of each kind, small or large, is always accepted.
    """

    link_mbps: float
    _small: _Load = field(factory=_Load)
    _large: _Load = field(factory=_Load)

    def try_begin(self, size: int, receiver_mbps: float) -> bool:
        """Reserve ``size`` bytes to a receiver; return False if the link is busy."""
        load = self._load(size)
        limit = self.link_mbps * BYTES_PER_S_PER_MBPS * MAX_BACKLOG_S
        fits = (
            load.size == 0
            or load.size + size <= limit
            or load.receivers_mbps + receiver_mbps <= self.link_mbps
        )
        if not fits:
            return False
        load.size += size
        load.receivers_mbps += receiver_mbps
        return True

    def end(self, size: int, receiver_mbps: float) -> None:
        """Release what a transfer that has ended had reserved."""
        load = self._load(size)
        load.size -= size
        load.receivers_mbps -= receiver_mbps

    def _load(self, size: int) -> _Load:
        return self._small if size <= SMALL_TRANSFER_BYTES else self._large


@frozen
class _Holder:
    version: int
    link_mbps: int


@define
class HolderList:
    """Gateways that have received the newest rows of a table from this one."""

    _holders: dict[str, _Holder] = field(factory=dict)

    def add(self, node: str, version: int, link_mbps: int) -> None:
        """Remember that ``node`` has the rows up to ``version``."""
        self._holders.pop(node, None)
        self._holders[node] = _Holder(version, link_mbps)
        while len(self._holders) > REMEMBERED_HOLDERS:
            del self._holders[next(iter(self._holders))]

    def sample(self, after: int, asker: str, rng: random.Random) -> list[str]:
        """Return some gateways with rows newer than ``after``, large links first."""
        nodes = [
            node
            for node, holder in self._holders.items()
            if holder.version > after and node != asker
        ]
        rng.shuffle(nodes)
        nodes.sort(key=lambda node: -self._holders[node].link_mbps)
        return nodes[:NAMED_HOLDERS]


@frozen
class PullFrom:
    """Pull the rows from the gateway ``node`` now."""

    node: str


@frozen
class Wait:
    """Do nothing for ``seconds``."""

    seconds: float


@define
class PullSchedule:
    """Where and when a gateway gets a newer version of one table.

    It asks the gateways that are known to have the version, each again later if it is
    busy or has failed. After ``store_delay_s`` to one and a half times that, it reads
    the store, and repeats that after as long while the version is missing.
    """

    store_delay_s: float
    _rng: random.Random = field(factory=random.Random)
    _wanted_version: int = 0
    _since: float | None = None
    _tries: int = 0
    _ask_at: dict[str, float] = field(factory=dict)
    _busy_delays_s: dict[str, float] = field(factory=dict)
    _read_store_at: float = 0.0

    @property
    def tries(self) -> int:
        """Pulls and reads for the version that is missing."""
        return self._tries

    def missing(self, version: int) -> bool:
        """Return whether a newer version than the present one is known to exist."""
        return version < self._wanted_version

    def behind_s(self, now: float) -> float:
        """Return for how long a newer version than the present one has been known."""
        return now - self._since if self._since is not None else 0.0

    def want(
        self, version: int, holders: list[str], now: float, spread_s: float = 0.0
    ) -> None:
        """Note that ``holders`` have ``version``, which is newer than the present one.

        They are asked within ``spread_s``, as other gateways learn of it now, too.
        """
        is_news = version > self._wanted_version
        self._wanted_version = max(self._wanted_version, version)
        if self._since is None:
            self._since = now
            self._read_store_at = now + self._store_delay()
        for node in holders:
            ask_at = now + self._rng.uniform(0.0, spread_s)
            if is_news and self._busy_delays_s.pop(node, None) is not None:
                # It had nothing newer when it was asked.
                self._ask_at[node] = min(self._ask_at[node], ask_at)
            else:
                self._ask_at.setdefault(node, ask_at)

    def finish(self) -> None:
        """Note that the wanted version is here."""
        self._since = None
        self._tries = 0
        self._ask_at.clear()
        self._busy_delays_s.clear()

    def note_busy(self, node: str, holders: list[str], now: float) -> None:
        """Note that ``node`` sent nothing for now and named other ``holders``."""
        delay_s = self._busy_delays_s.get(node, BUSY_RETRY_S)
        self._busy_delays_s[node] = min(2 * delay_s, MAX_BUSY_RETRY_S)
        self._ask_at[node] = now + delay_s * self._rng.uniform(0.5, 1.5)
        for holder in holders:
            self._ask_at.setdefault(holder, now)

    def note_failure(self, node: str, now: float) -> None:
        """Note that a pull from ``node`` failed."""
        self._ask_at[node] = now + FAILED_RETRY_S * self._rng.uniform(0.5, 1.5)

    def note_store_read(self, version: int | None, now: float) -> None:
        """Note that the copy is as in the store at ``version``, None if that failed.

        The wanted version may be that of a removed row, which the store doesn't list.
        """
        self._tries += 1
        if version is not None and version >= self._wanted_version:
            self._wanted_version = 0
        self._read_store_at = now + self._store_delay()

    def next_step(self, now: float) -> PullFrom | Wait:
        """Return what to do next for the missing version, besides reading the store."""
        due = [node for node, ask_at in self._ask_at.items() if ask_at <= now]
        if due:
            self._tries += 1
            return PullFrom(self._rng.choice(due))
        next_at = min(self._ask_at.values(), default=math.inf)
        return Wait(min(next_at - now, MAX_WAIT_S))

    def store_read_in_s(self, now: float) -> float:
        """Return the time until the store is to be read."""
        return max(self._read_store_at - now, 0.0)

    def _store_delay(self) -> float:
        return self.store_delay_s * self._rng.uniform(1.0, 1.5)
