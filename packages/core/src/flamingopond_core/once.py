"""At-most-once execution: the row of a call and the claimant's state machine.

The machine decides and its user acts: each method takes what happened and returns
the next step. A call is sent only after ``Step.SEND``.
"""

from __future__ import annotations

import base64
import json
from enum import StrEnum

import attrs

RETENTION = 24 * 3600.0
"""Seconds for which a key is remembered."""

MOST_INSERTS = 3
"""Inserts tried while their replies are lost and the row stays absent."""


class RecordState(StrEnum):
    """State of a row."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"


class ClaimState(StrEnum):
    """What a claimant says of its claim; the names are those of the peer schema."""

    UNKNOWN = "unknown"
    NOT_SENT = "notSent"
    RUNNING = "running"
    DONE = "done"


class Step(StrEnum):
    """What the user of a ``Claim`` does next."""

    INSERT = "insert"
    READ = "read"
    SEND = "send"
    RETURN = "return"
    ASK = "ask"
    WAIT = "wait"
    REFUSE = "refuse"
    REUSED = "reused"
    OUTCOME_UNKNOWN = "outcome_unknown"


@attrs.frozen
class Outcome:
    """A service's reply; ``object_name`` stands for a body in the object store."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    object_name: str = ""

    def to_bytes(self) -> bytes:
        """Return the JSON form."""
        fields = attrs.asdict(self) | {"body": base64.b64encode(self.body).decode()}
        return json.dumps(fields).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> Outcome:
        """Read the JSON form."""
        fields = json.loads(data)
        return cls(
            int(fields["status"]),
            tuple((str(k), str(v)) for k, v in fields["headers"]),
            base64.b64decode(fields["body"]),
            str(fields["object_name"]),
        )


@attrs.frozen
class OnceRecord:
    """The row ``once/<workspace>/<key>``; ``claimed_at`` is wall-clock seconds."""

    claim_id: str
    node: str
    incarnation: int
    digest: str
    state: RecordState
    claimed_at: float
    outcome: Outcome | None = None

    def to_bytes(self) -> bytes:
        """Return the JSON form."""
        fields = attrs.asdict(self, recurse=False)
        if self.outcome is not None:
            fields["outcome"] = self.outcome.to_bytes().decode()
        return json.dumps(fields).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> OnceRecord:
        """Read the JSON form."""
        fields = json.loads(data)
        outcome = fields.pop("outcome")
        fields["state"] = RecordState(fields["state"])
        return cls(
            **fields,
            outcome=None if outcome is None else Outcome.from_bytes(outcome.encode()),
        )


class Claim:
    """One node's attempt to run the call of a key."""

    def __init__(
        self, claim_id: str, node: str, incarnation: int, digest: str, wall: float
    ) -> None:
        """Start with nothing inserted; ``wall`` is the wall-clock time."""
        self._record = OnceRecord(
            claim_id, node, incarnation, digest, RecordState.CLAIMED, wall
        )
        self._state = ClaimState.RUNNING
        self._sent = False
        self._inserts = 0
        self._expected = 0
        self._other = False

    @property
    def record(self) -> OnceRecord:
        """The row to write."""
        return self._record

    @property
    def expected_version(self) -> int:
        """Version that the row must have for the next insert; 0 for absent."""
        return self._expected

    @property
    def state(self) -> ClaimState:
        """What to tell other nodes."""
        return self._state

    def begin(self) -> Step:
        """Return the first step."""
        return Step.INSERT

    def insert_committed(self) -> Step:
        """Handle an insert that took effect."""
        return Step.SEND

    def insert_conflicted(self) -> Step:
        """Handle a row that exists or has changed."""
        self._other = True
        return Step.READ

    def insert_lost(self) -> Step:
        """Handle a lost reply: the row tells whether the insert took effect."""
        self._inserts += 1
        return Step.READ

    def table_unavailable(self) -> Step:
        """Give the claim up; an insert that lands later is never sent.

        If another claim was seen, ``not_run`` might be false for the key.
        """
        step = self._abandon()
        return Step.OUTCOME_UNKNOWN if self._other else step

    def found(self, record: OnceRecord | None, version: int, wall: float) -> Step:
        """Handle the row as read, ``None`` if it is absent."""
        if record is not None and record.claim_id == self._record.claim_id:
            return Step.SEND
        if record is None or wall - record.claimed_at > RETENTION:
            self._expected = version
            self._other = False
            if self._inserts >= MOST_INSERTS:
                return self._abandon()
            return Step.INSERT
        self._expected = version
        self._other = True
        if record.digest != self._record.digest:
            return self._follow(Step.REUSED)
        if record.state is RecordState.DONE:
            return self._follow(Step.RETURN)
        if record.state is RecordState.UNKNOWN:
            return self._follow(Step.OUTCOME_UNKNOWN)
        return Step.ASK

    def claimant_answered(self, state: ClaimState | None) -> Step:
        """Handle the answer of the row's claimant, ``None`` if there was none."""
        match state:
            case ClaimState.NOT_SENT:
                # The claimant never sends after this answer, so the row may be
                # replaced as long as it is unchanged.
                self._other = False
                return Step.INSERT
            case ClaimState.RUNNING:
                return Step.WAIT
            case ClaimState.DONE:
                return self._follow(Step.RETURN)
        return self._follow(Step.OUTCOME_UNKNOWN)

    def begin_sending(self) -> bool:
        """Return whether the call may be sent; true once at most."""
        if self._sent or self._state is not ClaimState.RUNNING:
            return False
        self._sent = True
        return True

    def nothing_sent(self) -> Step:
        """Handle a target that could not be reached."""
        return self._abandon()

    def finished(self, outcome: Outcome) -> None:
        """Handle the whole reply."""
        self._state = ClaimState.DONE
        self._record = attrs.evolve(
            self._record, state=RecordState.DONE, outcome=outcome
        )

    def broken(self) -> None:
        """Handle a reply that broke off or never came."""
        self._state = ClaimState.UNKNOWN
        self._record = attrs.evolve(self._record, state=RecordState.UNKNOWN)

    def _abandon(self) -> Step:
        self._state = ClaimState.NOT_SENT
        return Step.REFUSE

    def _follow(self, step: Step) -> Step:
        # This claim sends nothing any more, though the row is another's.
        self._state = ClaimState.NOT_SENT
        return step


class ClaimLedger:
    """The claims of this process, for the questions of other nodes."""

    def __init__(self, most: int = 100_000) -> None:
        """Remember up to ``most`` claims; forgotten ones are ``unknown``."""
        self._most = most
        self._claims: dict[str, Claim] = {}

    def add(self, claim: Claim) -> None:
        """Remember ``claim`` and forget the oldest one that is not running."""
        self._claims[claim.record.claim_id] = claim
        if len(self._claims) > self._most:
            for claim_id, old in self._claims.items():
                if old.state is not ClaimState.RUNNING:
                    del self._claims[claim_id]
                    break

    def answer(self, claim_id: str) -> tuple[ClaimState, Outcome | None]:
        """Return the state of a claim and its outcome if it is done."""
        claim = self._claims.get(claim_id)
        if claim is None:
            return ClaimState.UNKNOWN, None
        return claim.state, claim.record.outcome
