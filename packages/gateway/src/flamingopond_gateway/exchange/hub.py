"""Aggregation of the gateways' reports at a hub."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field

from ..dispatch.loads import NO_WORK, Work, decode_work, encode_work
from ..messages import (
    GatewayReport,
    Joined,
    ServiceVersions,
    Summary,
    TargetWork,
)
from ..settings import Address
from ..store.watch import StoreHealth, store_is_reliable
from ..targets.target_limits import TargetLimits
from ..targets.target_load import TargetLoads
from .members import SILENCE_TIMEOUT_S, Members

# A new gateway is listed in the summaries for this long.
JOINED_ANNOUNCE_S = 3.0


@define
class _Reporter:
    report: GatewayReport
    address: Address
    heard_at: float
    first_heard_at: float


@define
class Hub:
    """Keeps the newest report of each gateway, this one included, and sums them."""

    node: str
    members: Members
    limits: TargetLimits = field(factory=lambda: TargetLimits(""))
    loads: TargetLoads = field(factory=TargetLoads)
    _reporters: dict[str, _Reporter] = field(factory=dict)
    _admitted: dict[str, int] = field(factory=dict)
    _first_report_at: float | None = None

    def add_report(self, report: GatewayReport, address: Address, now: float) -> bool:
        """Store a report; returns False if it is not the sender's newest."""
        if self._first_report_at is None:
            self._first_report_at = now
        known = self._reporters.get(report.node)
        if known is not None:
            before = known.report
            if (report.registration_version, report.number) <= (
                before.registration_version,
                before.number,
            ):
                return False
            self._add_admitted(before, report)
        first_heard_at = now if known is None else known.first_heard_at
        self._reporters[report.node] = _Reporter(report, address, now, first_heard_at)
        peer = (address[0], report.port)
        self.members.add(
            report.node, peer, report.registration_version, report.capacity
        )
        return True

    def subscribers(self, now: float) -> list[tuple[str, Address]]:
        """Return names and addresses of the other gateways that report to this hub."""
        return [
            (node, (reporter.address[0], reporter.report.port))
            for node, reporter in self._reporters.items()
            if node != self.node and now - reporter.heard_at < SILENCE_TIMEOUT_S
        ]

    def summary(
        self,
        registration_version: int,
        number: int,
        now: float,
        software: Iterable[ServiceVersions] = (),
    ) -> Summary:
        """Return the summary of the reports that are not stale."""
        fresh = {
            node: reporter.report
            for node, reporter in self._reporters.items()
            if now - reporter.heard_at < SILENCE_TIMEOUT_S
            and not reporter.report.leaving
        }
        store_health = [
            StoreHealth(report.watching, report.store_failure_age_ms / 1000)
            for report in fresh.values()
        ]
        lease_holder = max(
            fresh.values(), key=lambda report: (report.fence, report.node), default=None
        )
        return Summary(
            node=self.node,
            registration_version=registration_version,
            number=number,
            reporting_count=len(fresh),
            silent=self._silent_members(set(fresh), now),
            joined=self._joined_gateways(now),
            watchers=sum(health.watching for health in store_health),
            store_reliable=store_is_reliable(store_health),
            versions=_newest_versions(fresh),
            lease_holder=lease_holder.node
            if lease_holder is not None and lease_holder.fence
            else "",
            fence=lease_holder.fence if lease_holder is not None else 0,
            work=_sum_work(fresh),
            admitted=dict(self._admitted),
            limits=self.limits.summarized(now),
            durations=self.loads.summarized(now),
            software=list(software),
        )

    def dispatched_share(self, now: float) -> float:
        """Return the fraction of all gateways that use this hub as the dispatcher."""
        users = sum(
            reporter.report.dispatcher == self.node
            for reporter in self._reporters.values()
            if now - reporter.heard_at < SILENCE_TIMEOUT_S
        )
        return users / self.members.count()

    def announce(self, nodes: Iterable[str], now: float) -> None:
        """List gateways in the summaries again, as if they had just been heard of."""
        for node in nodes:
            if node in self._reporters:
                self._reporters[node].first_heard_at = now

    def remove(self, node: str) -> None:
        """Drop a gateway that has left."""
        self._reporters.pop(node, None)

    def _add_admitted(self, before: GatewayReport, report: GatewayReport) -> None:
        """Add the cost units that a gateway has admitted since its previous report."""
        restarted = report.registration_version != before.registration_version
        for workspace, total in report.admitted.items():
            counted = 0 if restarted else before.admitted.get(workspace, 0)
            self._admitted[workspace] = (
                self._admitted.get(workspace, 0) + total - counted
            )

    def _silent_members(self, reporting: set[str], now: float) -> list[str]:
        # A new hub has not received everyone's report yet.
        if (
            self._first_report_at is None
            or now - self._first_report_at < 2 * SILENCE_TIMEOUT_S
        ):
            return []
        return sorted(
            member.node for member in self.members if member.node not in reporting
        )

    def _joined_gateways(self, now: float) -> list[Joined]:
        return [
            Joined(
                node,
                reporter.address[0],
                reporter.report.port,
                reporter.report.registration_version,
                reporter.report.capacity,
            )
            for node, reporter in self._reporters.items()
            if node != self.node and now - reporter.first_heard_at < JOINED_ANNOUNCE_S
        ]


def _newest_versions(fresh: dict[str, GatewayReport]) -> dict[str, tuple[int, str]]:
    newest: dict[str, tuple[int, str]] = {}
    for node, report in fresh.items():
        for table, version in report.versions.items():
            if version > newest.get(table, (0, ""))[0]:
                newest[table] = (version, node)
    return newest


def _sum_work(fresh: dict[str, GatewayReport]) -> list[TargetWork]:
    sums: dict[str, Work] = {}
    for report in fresh.values():
        for target, work in decode_work(report.work).items():
            sums[target] = sums.get(target, NO_WORK) + work
    return encode_work(sums)
