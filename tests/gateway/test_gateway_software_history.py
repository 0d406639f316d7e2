"""Which software version a stream can have begun at, and records of streams."""

from __future__ import annotations

import msgspec
import pytest

from flamingopond_gateway.exchange.stream_records import (
    MAX_KEPT,
    MAX_OWN,
    MAX_REPORTED,
    MAX_ROW_RECORDS,
    REPEATS,
    RING_ROWS,
    ROWS_PER_STREAM,
    OwnStreams,
    RecordLog,
    StreamOrigin,
    decode_records,
    encode_records,
    find_origins,
    stream_key,
)
from flamingopond_gateway.messages import BegunStreams
from flamingopond_gateway.store.software_history import SoftwareHistory
from flamingopond_gateway.store.storage import Row

WINDOW_MS = 60_000.0
V1 = StreamOrigin("models", "1")
V2 = StreamOrigin("models", "2")


def history(*changes, first_start=True):
    """Return the history of ``changes``: time and the versions listed from then on."""
    made = SoftwareHistory(first_start)
    for now_ms, versions in changes:
        made.note_present({"models": versions}, now_ms, WINDOW_MS)
    return made


# Guards ORDER: a version is the only one if no stream of another one can be left.
@pytest.mark.parametrize(
    ("changes", "first_start", "now_ms", "sole"),
    [
        ([], True, 1e3, None),
        ([(1e3, ["1"])], True, 2e3, "1"),
        ([(1e3, [""])], True, 2e3, ""),
        # A gateway that joins a running system doesn't know what was before.
        ([(1e3, ["1"])], False, 2e3, None),
        ([(1e3, ["1"])], False, 62e3, "1"),
        ([(1e3, ["1"]), (9e3, ["1", "2"])], True, 10e3, None),
        ([(1e3, ["1"]), (9e3, ["1", "2"])], True, 900e3, None),
        ([(1e3, ["1"]), (9e3, ["1", "2"]), (20e3, ["2"])], True, 79e3, None),
        ([(1e3, ["1"]), (9e3, ["1", "2"]), (20e3, ["2"])], True, 81e3, "2"),
        # All targets replaced at once.
        ([(1e3, ["1"]), (9e3, ["2"])], True, 10e3, None),
        ([(1e3, ["1"]), (9e3, ["2"])], True, 70e3, "2"),
        # A release that goes back.
        ([(1e3, ["1"]), (9e3, ["2"]), (20e3, ["1"])], True, 60e3, None),
        ([(1e3, ["1"]), (9e3, ["2"]), (20e3, ["1"])], True, 81e3, "1"),
        # No target for a while.
        ([(1e3, ["1"]), (9e3, [])], True, 10e3, "1"),
        ([(1e3, ["1"]), (9e3, [])], True, 80e3, None),
        ([(1e3, ["1"]), (9e3, []), (30e3, ["2"])], True, 40e3, None),
    ],
)
def test_sole_version(changes, first_start, now_ms, sole):
    made = history(*changes, first_start=first_start)
    assert made.sole_version("models", now_ms, WINDOW_MS) == sole


def rows_of(made):
    return [Row("software", "", key, v, 1) for key, v in made.unstored_rows().items()]


# Guards ORDER: all gateways have lost their memory.
@pytest.mark.parametrize(
    ("changes", "listed", "now_ms", "sole"),
    [
        ([(1e3, ["1"])], ["1"], 5e3, "1"),
        ([(1e3, ["1"])], ["2"], 5e3, None),
        ([(1e3, ["1"])], ["1", "2"], 5e3, None),
        ([(1e3, ["1"]), (9e3, ["2"])], ["2"], 30e3, None),
        ([(1e3, ["1"]), (9e3, ["2"])], ["2"], 90e3, "2"),
        # The end of version 1 was not written any more.
        ([(1e3, ["1"]), (9e3, ["1", "2"])], ["2"], 90e3, None),
    ],
)
def test_sole_version_after_a_restart(changes, listed, now_ms, sole):
    started = SoftwareHistory()
    started.restore(rows_of(history(*changes)))
    started.note_present({"models": listed}, now_ms - 1e3, WINDOW_MS)
    assert started.sole_version("models", now_ms, WINDOW_MS) == sole


# Guards ORDER: a gateway that starts after a restore of the store took the row of an
# older copy, in which a version was missing, for the whole history.
@pytest.mark.parametrize(
    ("row_era", "now_ms", "sole", "written"),
    [
        pytest.param(2, 5e3, "1", [], id="written since the restore"),
        pytest.param(1, 5e3, None, [], id="from the copy"),
        pytest.param(1, 6.9e3, None, [], id="entries may still be missing"),
        pytest.param(1, 7e3, "1", ["models"], id="entries have been written again"),
        pytest.param(0, 5e3, None, [], id="written by earlier software"),
    ],
)
def test_history_from_an_older_copy(row_era, now_ms, sole, written):
    rows = history((1e3, ["1"])).unstored_rows(row_era)
    started = SoftwareHistory()
    started.restore([Row("software", "", key, row, 1) for key, row in rows.items()])
    held = started.hold_copies(2, 7e3)
    assert held == (["models"] if row_era < 2 else [])
    started.note_present({"models": ["1"]}, 5e3, WINDOW_MS)
    assert started.sole_version("models", now_ms, WINDOW_MS) == sole
    unstored = started.unstored_rows(2, now_ms)
    assert list(unstored) == written
    eras = {msgspec.json.decode(row)["era"] for row in unstored.values()}
    assert eras <= {2}


def test_rows_are_written_when_they_have_changed():
    made = history((1e3, ["1"]))
    rows = made.unstored_rows()
    assert list(rows) == ["models"]
    made.note_written(rows, 1)
    made.note_present({"models": ["1"]}, 5e3, WINDOW_MS)
    assert made.unstored_rows() == {}
    made.note_present({"models": ["1", "2"]}, 6e3, WINDOW_MS)
    assert list(made.unstored_rows()) == ["models"]
    # A store that has come back from a copy.
    made.note_stored([])
    assert list(made.unstored_rows()) == ["models"]


@pytest.mark.parametrize(
    "value", [b"", b"{", b"[1]", b'{"known_since_ms":"x"}', b"[" * 9000]
)
def test_malformed_row_tells_nothing(value):
    started = SoftwareHistory()
    started.restore([Row("software", "", "models", value, 1)])
    started.note_present({"models": ["1"]}, 1e3, WINDOW_MS)
    assert started.sole_version("models", 2e3, WINDOW_MS) is None


def test_versions_that_left_long_ago_are_forgotten():
    made = history((1e3, ["1"]), (2e3, ["2"]))
    made.note_present({"models": ["2"]}, 1e6, WINDOW_MS)
    assert made.sole_version("models", 1e6, WINDOW_MS) == "2"
    assert b'"1"' not in made.unstored_rows()["models"]


def record_row(records):
    value = msgspec.msgpack.encode(encode_records(records))
    return Row("streams", "", "gw-1-001", value, 1)


@pytest.mark.parametrize(
    ("rows", "key", "found"),
    [
        ([], 7, set()),
        ([record_row([(7, V1)])], 7, {V1}),
        ([record_row([(7, V1)])], 8, set()),
        ([record_row([(1, V2)]), record_row([(7, V1), (9, V2)])], 7, {V1}),
        # The same id at two versions: nobody knows.
        ([record_row([(7, V1)]), record_row([(7, V2)])], 7, {V1, V2}),
        # Bytes of two neighbours that look like a third key.
        ([record_row([(0x0101, V1), (0x0101 << 48, V1)])], 0x0101_0000, set()),
        ([Row("streams", "", "x", b"\xff" * 20, 1), record_row([(7, V1)])], 7, {V1}),
        ([Row("streams", "", "x", b"\x91" * 9000, 1)], 7, set()),
    ],
)
def test_origins_in_the_store(rows, key, found):
    assert find_origins(rows, key) == found


def test_stream_of_another_workspace_has_another_key():
    assert stream_key("trust", "r-1") != stream_key("desk", "r-1")
    assert stream_key("trust", "r-1") != stream_key(None, "trustr-1")
    assert stream_key("trust", "r-1") < 1 << 64


def test_own_streams_are_reported_a_few_times_and_forgotten():
    own = OwnStreams()
    own.record(7, V1, 60.0, 1.0)
    reports = [decode_records(own.next_report()) for _ in range(REPEATS + 1)]
    assert reports == [[(7, V1)]] * REPEATS + [[]]
    assert own.find(7) == V1
    own.record(8, V2, 60.0, 62.0)
    assert own.find(7) is None
    assert decode_records(own.next_report()) == [(8, V2)]


def test_own_streams_are_bounded():
    own = OwnStreams()
    for key in range(MAX_OWN + 10):
        own.record(key, V1, 60.0, 1.0)
    assert own.find(9) is None
    assert own.find(10) == V1
    assert len(decode_records(own.next_report())) == MAX_REPORTED


def keys_of(row):
    return {key for key, _ in decode_records(decoded(row))}


def decoded(row):
    return msgspec.msgpack.decode(row[1], type=list[BegunStreams])


def record_log(stored=()):
    log = RecordLog()
    log.choose_ring(dict(stored))
    return log


def test_a_row_is_replaced_until_its_time_is_over():
    log = record_log()
    assert log.next_row(60.0, 5.0) is None
    log.add(encode_records([(1, V1)]), 1.0)
    first = log.next_row(60.0, 5.0)
    log.note_written()
    assert log.next_row(60.0, 5.1) is None
    # A repeated report is no news.
    log.add(encode_records([(1, V1)]), 1.1)
    assert log.next_row(60.0, 5.2) is None
    log.add(encode_records([(2, V2)]), 1.2)
    second = log.next_row(60.0, 5.3)
    log.note_written()
    log.add(encode_records([(3, V2)]), 3.2)
    third = log.next_row(60.0, 5.1 + 60.0 / ROWS_PER_STREAM)
    assert first[0] == second[0] != third[0]
    assert [keys_of(row) for row in (first, second, third)] == [{1}, {1, 2}, {3}]


def test_failed_write_is_repeated_with_what_came_since():
    log = record_log()
    log.add(encode_records([(1, V1)]), 1.0)
    log.next_row(60.0, 5.0)
    log.add(encode_records([(2, V1)]), 1.0)
    assert keys_of(log.next_row(60.0, 5.25)) == {1, 2}


# Guards LOST: the newest records were overwritten by the next process.
@pytest.mark.parametrize(
    ("stored", "ring"),
    [
        ({}, "0"),
        ({"0-01": 5}, "1"),
        ({"0-01": 5, "1-01": 6, "2-63": 7}, "3"),
        ({"0-01": 5, "0-02": 9, "1-01": 6, "2-63": 7, "3-00": 8}, "1"),
    ],
)
def test_process_fills_the_ring_that_has_not_been_written_for_longest(stored, ring):
    log = record_log(stored)
    log.add(encode_records([(1, V1)]), 1.0)
    assert log.next_row(60.0, 5.0)[0].partition("-")[0] == ring


def test_ring_outlasts_the_longest_stream():
    log = record_log()
    keys = []
    for number in range(RING_ROWS + 1):
        log.add(encode_records([(number, V1)]), 1.0)
        keys.append(log.next_row(60.0, number * 60.0 / ROWS_PER_STREAM)[0])
        log.note_written()
    assert len(set(keys[:-1])) == RING_ROWS
    assert keys[-1] == keys[0]
    assert RING_ROWS > ROWS_PER_STREAM


def test_full_row_is_followed_by_the_next_one():
    log = record_log()
    log.add(encode_records((key, V1) for key in range(MAX_ROW_RECORDS + 5)), 1.0)
    first = log.next_row(60.0, 5.0)
    log.note_written()
    second = log.next_row(60.0, 5.01)
    assert len(keys_of(first)) == MAX_ROW_RECORDS
    assert len(keys_of(second)) == 5
    assert first[0] != second[0]


def test_hub_that_is_not_the_first_keeps_records_for_a_while():
    log = record_log()
    log.add(encode_records([(1, V1)]), 1.0)
    log.add(encode_records([(2, V1)]), 5.0)
    log.expire(60.0, 61.5)
    assert keys_of(log.next_row(60.0, 5.0)) == {2}


def test_records_are_written_again_to_a_restored_store():
    log = record_log()
    log.add(encode_records([(1, V1)]), 1.0)
    log.next_row(60.0, 5.0)
    log.note_written()
    log.write_again()
    assert keys_of(log.next_row(60.0, 5.1)) == {1}


def test_records_are_bounded_while_the_store_is_away():
    log = record_log()
    log.add(encode_records((key, V1) for key in range(MAX_KEPT + 10)), 1.0)
    assert 9 not in keys_of(log.next_row(60.0, 5.0))
    assert 10 in keys_of(log.next_row(60.0, 5.0))
