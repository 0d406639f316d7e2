"""Times of a planned stop."""

from __future__ import annotations

import pytest

from flamingopond_gateway.shutdown import ShutdownTimes

# A request that is sent later than this after SIGTERM must not be cut off.
LAST_SENT_S = 3.0
# Two readiness checks, 1 s apart, take a process out of rotation.
IN_ROTATION_S = 2.0


# Guards LOST: a stream was passed on 3.28 s after SIGTERM, and cut off at the end.
@pytest.mark.parametrize("grace_s", [8.0, 7.0, 4.0])
def test_process_refuses_what_it_may_have_to_cut_off(grace_s):
    times = ShutdownTimes(grace_s)
    assert times.refuse_s <= LAST_SENT_S


@pytest.mark.parametrize("grace_s", [0.0, 0.4, 2.0, 4.0, 8.0, 30.0])
def test_stop_is_in_order_and_within_the_grace_period(grace_s):
    times = ShutdownTimes(grace_s)
    assert 0.0 <= times.listen_s <= times.refuse_s <= times.end_s <= grace_s


@pytest.mark.parametrize("grace_s", [4.0, 8.0, 30.0])
def test_process_listens_while_callers_are_sent_to_it(grace_s):
    assert ShutdownTimes(grace_s).listen_s >= IN_ROTATION_S
