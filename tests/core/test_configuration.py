"""Configuration stays consistent under changes."""

import attrs
import pytest

from flamingopond_core.configuration import (
    Adapter,
    Change,
    ChangeSet,
    Configuration,
    Contract,
    EngineTarget,
    Key,
    Model,
    Route,
    Service,
)
from flamingopond_core.enums import ObjectKind, Priority
from flamingopond_core.exceptions import InvalidInputError, RevisionGapError
from flamingopond_core.keys import digest_of, make_secret, matches

K = ObjectKind
SECRET = make_secret(bytes(range(32)))
CONTRACT = Contract("volunteers", Priority.PREMIUM, 100, 400)
KEY = Key("k1", "volunteers", digest_of(SECRET))
MODEL = Model("drafter", "3", 4000, 50)
ADAPTER = Adapter("river", "drafter")
ENGINE = EngineTarget("e1", "10.0.0.1:80", "whk-a", "nam", 16000, True)
SERVICE = Service("desk", ("10.0.0.2:80",), ("POST /lookup",))
ROUTE = Route("desk", "/services/desk", "desk", False)
BASE = (
    Change(K.CONTRACT, "volunteers", CONTRACT),
    Change(K.KEY, "k1", KEY),
    Change(K.MODEL, "drafter", MODEL),
    Change(K.ADAPTER, "river", ADAPTER),
    Change(K.ENGINE, "e1", ENGINE),
    Change(K.SERVICE, "desk", SERVICE),
    Change(K.ROUTE, "desk", ROUTE),
)


def change_set(base: int, *changes: Change) -> ChangeSet:
    return ChangeSet(f"op-{base}", "tester", base, base + 1, changes)


@pytest.fixture
def configuration() -> Configuration:
    result = Configuration()
    result.apply(change_set(0, *BASE))
    return result


@pytest.mark.parametrize(
    ("changes", "messages"),
    [
        ([Change(K.ADAPTER, "a", Adapter("a", "gone"))], ["refers to model gone"]),
        ([Change(K.ROUTE, "r", Route("r", "/r", "gone", True))], ["service gone"]),
        ([Change(K.KEY, "k", Key("k", "gone", "0" * 64))], ["contract gone"]),
        ([Change(K.CONTRACT, "volunteers")], ["still referred to by key k1"]),
        ([Change(K.MODEL, "absent")], ["does not exist"]),
        ([Change(K.MODEL, "x", MODEL)], ["value is named 'drafter'"]),
        ([Change(K.MODEL, "drafter", KEY)], ["value is not a model"]),
        ([Change(K.KEY, "k2", attrs.evolve(KEY, key_id="k2"))], ["same digest"]),
        ([Change(K.ENGINE, "e2", attrs.evolve(ENGINE, name="e2"))], ["same engine"]),
        ([Change(K.MODEL, "drafter", MODEL)] * 2, ["more than once"]),
        ([], ["holds no change"]),
        (
            [
                Change(K.MODEL, "bad", Model("bad", "", 0, float("nan"))),
                Change(K.ENGINE, "e 3", attrs.evolve(ENGINE, address="host:1")),
            ],
            ["version", "memory_mb", "tokens_per_second", "bad name", "ip:port"],
        ),
    ],
)
def test_bad_changes_are_refused_with_all_findings(
    configuration: Configuration, changes: list[Change], messages: list[str]
) -> None:
    """Guards against dangling references and partly applied change sets."""
    before = configuration.to_snapshot()
    good = Change(K.MODEL, "extra", attrs.evolve(MODEL, name="extra"))
    extended = [*changes, good] if changes else []
    with pytest.raises(InvalidInputError) as caught:
        configuration.apply(change_set(1, *extended))
    for message in messages:
        assert message in str(caught.value)
    assert configuration.to_snapshot() == before


@pytest.mark.parametrize(("base", "revision"), [(0, 1), (1, 3), (2, 3), (0, 2)])
def test_only_the_next_revision_is_applied(
    configuration: Configuration, base: int, revision: int
) -> None:
    """Guards against gaps, duplicates and rollbacks of revisions."""
    with pytest.raises(RevisionGapError):
        configuration.apply(
            ChangeSet("op", "t", base, revision, (Change(K.ADAPTER, "river"),))
        )
    assert configuration.revision == 1


def test_references_may_change_together(configuration: Configuration) -> None:
    """Guards against validating a change set against the old objects only."""
    touched = configuration.apply(
        change_set(
            1,
            Change(K.CONTRACT, "volunteers"),
            Change(K.KEY, "k1"),
            Change(K.ENGINE, "e1", attrs.evolve(ENGINE, address="10.0.0.3:80")),
            Change(K.ENGINE, "e2", attrs.evolve(ENGINE, name="e2")),
        )
    )
    assert touched == {
        (K.CONTRACT, "volunteers"),
        (K.KEY, "k1"),
        (K.ENGINE, "e1"),
        (K.ENGINE, "e2"),
    }
    assert configuration.authenticate(SECRET) is None


def test_a_rotated_key_stops_its_old_secret(configuration: Configuration) -> None:
    """Guards against the old digest staying in the index after a key rotation."""
    assert configuration.authenticate(SECRET) == KEY
    secret = make_secret(bytes(32))
    new = attrs.evolve(KEY, digest=digest_of(secret))
    configuration.apply(change_set(1, Change(K.KEY, "k1", new)))
    assert configuration.authenticate(SECRET) is None
    assert configuration.authenticate(secret) == new
    assert matches(secret, new.digest)
    assert not matches(SECRET, new.digest)


def test_snapshot_and_change_set_survive_json(configuration: Configuration) -> None:
    """Guards against a JSON form that loses fields or indexes."""
    copy = Configuration.from_snapshot(configuration.to_snapshot())
    assert copy.revision == 1
    for kind in ObjectKind:
        assert copy.objects(kind) == configuration.objects(kind)
    assert copy.authenticate(SECRET) == KEY
    assert copy.check([Change(K.MODEL, "drafter")]) != ()
    original = change_set(1, *BASE, Change(K.MODEL, "x"))
    assert ChangeSet.from_json(original.to_json()) == original


def test_a_snapshot_never_goes_back(configuration: Configuration) -> None:
    """Guards against a lagging peer's snapshot undoing a key revocation."""
    old = Configuration.from_snapshot(configuration.to_snapshot())
    configuration.apply(change_set(1, Change(K.KEY, "k1")))
    with pytest.raises(RevisionGapError):
        configuration.advance_to(old)
    newer = Configuration.from_snapshot(configuration.to_snapshot())
    assert old.advance_to(newer) == {(K.KEY, "k1")}
    assert old.authenticate(SECRET) is None


@pytest.mark.parametrize("data", [b"", b"{}", b'{"revision":1,"objects":{"key":[{}]}}'])
def test_a_broken_snapshot_is_refused(data: bytes) -> None:
    """Guards against loading an incomplete snapshot."""
    with pytest.raises(InvalidInputError):
        Configuration.from_snapshot(data)
