"""Memory is never overcommitted, whatever happens to orders, owners and engines."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from model_engine import ModelEngine

from flamingopond_core.orders import CopyState, EngineLedger
from flamingopond_core.reports import EngineReport, Order, OrderKind, OrderState

MEMORY_MB = 100
INDEX = st.integers(0, 5)


class LedgerMachine(RuleBasedStateMachine):
    """Random orders, lost, late and repeated; paused owners; engine restarts."""

    ledger_type: type[EngineLedger] = EngineLedger

    @initialize(checks_fencing=st.booleans())
    def start(self, checks_fencing: bool) -> None:
        """Start with an empty engine and its first owner."""
        self.now = 0.0
        self.engine = ModelEngine(MEMORY_MB, checks_fencing)
        self.row = b""
        self.epoch = 0
        # Orders on their way to one instance, and orders that a paused former
        # owner has written to the row and not sent yet.
        self.transit: list[Order] = []
        self.unsent: list[Order] = []
        self.reports: list[EngineReport] = []
        self.change_owner()

    @rule()
    def change_owner(self) -> None:
        """Let a new owner take over from the row."""
        self.epoch += 1
        fresh = self.ledger_type("e", MEMORY_MB, self.engine.checks_fencing)
        if self.row:
            fresh.restore(self.row, self.now)
        fresh.take_over(self.epoch)
        self.ledger = fresh
        self.row = fresh.to_row()

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        if self.now + seconds < 500.0:
            self.now += seconds

    @rule()
    def wait_long(self) -> None:
        """Let unanswered orders count as abandoned."""
        self.wait(40.0)

    @rule()
    def publish(self) -> None:
        """Publish a report."""
        self.reports.append(self.engine.report())

    @rule()
    def poll(self) -> None:
        """Show the owner the newest published report of this instance."""
        instance = str(self.engine.instance)
        published = [r for r in self.reports if r.instance == instance]
        if published:
            self.ledger.observe(published[-1], self.now, self.now)

    @rule()
    def settle(self) -> None:
        """Let everything go well for once."""
        fence = self.ledger.fence(self.now)
        for order in (*self.transit, fence):
            if order is not None:
                self.engine.deliver(order)
        self.transit.clear()
        self.engine.progress()
        self.publish()
        self.poll()

    @rule(
        model=st.sampled_from(["a", "b", "c"]),
        version=st.sampled_from(["1", "2"]),
        memory_mb=st.sampled_from([40, 60, 100]),
        paused=st.booleans(),
    )
    def load(self, model: str, version: str, memory_mb: int, paused: bool) -> None:
        """Order a load."""
        kind = OrderKind.LOAD_MODEL
        subject = {"model": model, "version": version}
        self.order(
            self.ledger.propose(kind, self.now, **subject, memory_mb=memory_mb), paused
        )

    @rule(index=INDEX, paused=st.booleans())
    def unload(self, index: int, paused: bool) -> None:
        """Order an unload of something that the engine holds."""
        copies = self.ledger.copies(self.now)
        if copies:
            copy = copies[index % len(copies)]
            kind = OrderKind.UNLOAD_MODEL
            subject = {"model": copy.model, "version": copy.version}
            self.order(self.ledger.propose(kind, self.now, **subject), paused)

    def order(self, order: Order | None, paused: bool) -> None:
        """Write the row, then send, unless the owner is paused in between."""
        if order is None:
            return
        self.row = self.ledger.to_row()
        if paused:
            self.unsent.append(order)
            self.change_owner()
        else:
            self.transit.append(order)
            self.now += 0.01
            self.ledger.sent(order.order_id, self.now)

    @rule()
    def resend(self) -> None:
        """Send unanswered orders again."""
        orders = self.ledger.to_resend(self.now)
        self.transit += orders
        self.now += 0.01
        for order in orders:
            self.ledger.sent(order.order_id, self.now)

    @rule(index=INDEX)
    def paused_owner_sends(self, index: int) -> None:
        """Let a paused former owner send its order."""
        if self.unsent:
            self.transit.append(self.unsent.pop(index % len(self.unsent)))

    @rule(index=INDEX, repeat=st.booleans(), answered=st.booleans())
    def deliver(self, index: int, repeat: bool, answered: bool) -> None:
        """Deliver an order, perhaps once more later."""
        if not self.transit:
            return
        at = index % len(self.transit)
        order = self.transit[at] if repeat else self.transit.pop(at)
        state = self.engine.deliver(order)
        if answered and order.fencing == self.epoch:
            if state is None:
                self.ledger.withdraw(order.order_id)
            else:
                self.ledger.answered(order.order_id, state)

    @rule(index=INDEX)
    def lose(self, index: int) -> None:
        """Lose an order on its way."""
        if self.transit:
            self.transit.pop(index % len(self.transit))

    @rule()
    def progress(self) -> None:
        """Let the engine finish its loads and unloads."""
        self.engine.progress()

    @rule()
    def restart_engine(self) -> None:
        """Orders on their way over the old connections are lost with them."""
        self.engine.restart()
        self.transit.clear()

    @invariant()
    def memory_is_not_overcommitted(self) -> None:
        """Check that the engine never had to turn down a load."""
        if hasattr(self, "engine"):
            assert self.engine.overcommits == []


class FreesOnUnloadAnswer(EngineLedger):
    """Broken: counts an unload when it is sent, not when a report shows it."""

    @property
    def free_mb(self) -> int:
        """Count memory as free too early."""
        leaving = [o for o in self.pending if o.kind is OrderKind.UNLOAD_MODEL]
        held = {(c.model, c.version): c.memory_mb for c in self.copies(0.0)}
        return super().free_mb + sum(held.get((o.model, o.version), 0) for o in leaving)


class ForgetsPendingOnTakeOver(EngineLedger):
    """Broken: a new owner starts without the orders in the row."""

    def restore(self, row: bytes, now: float) -> None:
        """Drop the orders."""
        super().restore(row, now)
        for order in self.pending:
            self.withdraw(order.order_id)


class ForgetsPendingOnRestart(EngineLedger):
    """Broken: every order is void once the engine restarted."""

    def observe(
        self, report: EngineReport, asked_at: float, now: float
    ) -> tuple[Order, ...]:
        """Drop all orders of the former instance."""
        if report.instance != self.instance:
            for order in self.pending:
                self.withdraw(order.order_id)
        return super().observe(report, asked_at, now)


class ForgetsAbandonedOrders(EngineLedger):
    """Broken: an order without answer for 30 s no longer reserves memory."""

    def propose(self, kind: OrderKind, now: float, **subject: object) -> Order | None:
        """Drop old orders first."""
        for item in list(self._pending.values()):
            if now - item.written_at >= 30.0 and not item.accepted:
                self.withdraw(item.order.order_id)
        return super().propose(kind, now, **subject)  # type: ignore[arg-type]


def machine(kind: type[EngineLedger]) -> Callable[[], LedgerMachine]:
    return type(kind.__name__, (LedgerMachine,), {"ledger_type": kind})


def test_memory_is_never_overcommitted() -> None:
    """Guards against a second load into memory that is not surely free.

    Each of the broken ledgers above is shown to fail by the next test.
    """
    run_state_machine_as_test(
        machine(EngineLedger),
        settings=settings(
            max_examples=200, stateful_step_count=50, deadline=None, derandomize=True
        ),
    )


@pytest.mark.parametrize(
    "broken",
    [
        FreesOnUnloadAnswer,
        ForgetsPendingOnTakeOver,
        ForgetsPendingOnRestart,
        ForgetsAbandonedOrders,
    ],
)
def test_broken_ledgers_are_found(broken: type[EngineLedger]) -> None:
    """Guards against a property test that cannot fail."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            machine(broken),
            settings=settings(
                max_examples=2000,
                stateful_step_count=50,
                deadline=None,
                derandomize=True,
                # The smallest example is of no interest here.
                phases=[Phase.generate],
                report_multiple_bugs=False,
                print_blob=False,
            ),
        )


def ledger_with(checks_fencing: bool) -> tuple[EngineLedger, ModelEngine]:
    engine = ModelEngine(MEMORY_MB, checks_fencing)
    ledger = EngineLedger("e", MEMORY_MB, checks_fencing)
    ledger.take_over(3)
    ledger.observe(engine.report(), 0.0, 0.0)
    fence = ledger.fence(0.0)
    if fence is not None:
        engine.deliver(fence)
        ledger.observe(engine.report(), 0.0, 0.0)
    return ledger, engine


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_lost_order_does_not_block_for_good(checks_fencing: bool) -> None:
    """Guards against engines that get no order any more after a lost one."""
    ledger, engine = ledger_with(checks_fencing)
    order = ledger.propose(
        OrderKind.LOAD_MODEL, 1.0, model="a", version="1", memory_mb=60
    )
    assert order is not None
    ledger.sent(order.order_id, 1.0)
    assert ledger.to_resend(2.0) == ()
    resent = ledger.to_resend(5.0)
    if checks_fencing:
        assert resent == (order,)
        assert engine.deliver(order) is OrderState.ACCEPTED
        engine.progress()
        assert ledger.observe(engine.report(), 6.0, 6.0) == (order,)
        assert ledger.copies(6.0)[0].state is CopyState.READY
    else:
        assert resent == ()
        load = {"model": "b", "version": "1", "memory_mb": 40}
        assert ledger.propose(OrderKind.LOAD_MODEL, 5.0, **load) is None
        assert ledger.propose(OrderKind.LOAD_MODEL, 31.0, **load) is not None
        assert ledger.free_mb == 0


def test_fenced_owner_waits_for_its_own_number() -> None:
    """Guards against orders before a former owner's late ones are shut out."""
    engine = ModelEngine(MEMORY_MB, checks_fencing=True)
    ledger = EngineLedger("e", MEMORY_MB, checks_fencing=True)
    ledger.take_over(3)
    ledger.observe(engine.report(), 0.0, 0.0)
    assert not ledger.usable
    fence = ledger.fence(0.0)
    assert fence is not None
    assert ledger.fence(0.0) is None
    engine.deliver(fence)
    ledger.observe(engine.report(), 1.0, 1.0)
    assert ledger.usable
    engine.restart()
    ledger.observe(engine.report(), 2.0, 2.0)
    assert not ledger.usable


def test_row_keeps_orders() -> None:
    """Guards against a new owner that does not count an open order."""
    ledger, _ = ledger_with(checks_fencing=False)
    ledger.propose(OrderKind.LOAD_MODEL, 1.0, model="a", version="1", memory_mb=60)
    other = EngineLedger("e", MEMORY_MB, checks_fencing=False)
    other.restore(ledger.to_row(), 2.0)
    assert other.pending == ledger.pending
    assert other.free_mb == 40
