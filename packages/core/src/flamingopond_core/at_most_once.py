"""At-most-once execution: the row of an idempotency key and the state of a claim.

``Claim`` does no I/O: each method takes an event and returns the caller's next step. A
call may be sent only after ``ClaimStep.SEND``.
"""

from __future__ import annotations

import base64
import json
from enum import StrEnum

import attrs

RETENTION_S = 24 * 3600.0
"""How long a key is remembered."""

MAX_LOST_INSERTS = 3
"""Inserts with a lost reply after which a claim gives up if the row is absent."""


class RecordState(StrEnum):
    """State of a call, as stored in its row."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"


class ClaimState(StrEnum):
    """State of a claim as sent to other nodes; ``peer.capnp`` has the same values."""

    UNKNOWN = "unknown"
    NOT_SENT = "notSent"
    RUNNING = "running"
    DONE = "done"


class ClaimStep(StrEnum):
    """Next step for the caller of a ``Claim``."""

    INSERT = "insert"
    READ = "read"
    SEND = "send"
    RETURN = "return"
    QUERY_CLAIMANT = "query_claimant"
    WAIT = "wait"
    REFUSE = "refuse"
    REFUSE_REUSED_KEY = "refuse_reused_key"
    OUTCOME_UNKNOWN = "outcome_unknown"


@attrs.frozen
class Outcome:
    """A service's reply; ``object_name`` names a body kept in the object store."""

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
        """Parse the JSON form."""
        fields = json.loads(data)
        return cls(
            int(fields["status"]),
            tuple((str(k), str(v)) for k, v in fields["headers"]),
            base64.b64decode(fields["body"]),
            str(fields["object_name"]),
        )


@attrs.frozen
class OnceRecord:
    """The row ``once/<workspace>/<key>``; ``claimed_at`` is wall-clock seconds.

    ``digest`` is the SHA-256 of the request, so that a key cannot be used for another.
    """

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
        """Parse the JSON form."""
        fields = json.loads(data)
        outcome = fields.pop("outcome")
        fields["state"] = RecordState(fields["state"])
        return cls(
            **fields,
            outcome=None if outcome is None else Outcome.from_bytes(outcome.encode()),
        )


class Claim:
    """One node's claim to run the call of an idempotency key."""

    def __init__(
        self,
        claim_id: str,
        node: str,
        incarnation: int,
        request_digest: str,
        wall_time: float,
    ) -> None:
        """Create a claim without a row; ``wall_time`` is wall-clock seconds."""
        self._record = OnceRecord(
            claim_id, node, incarnation, request_digest, RecordState.CLAIMED, wall_time
        )
        self._state = ClaimState.RUNNING
        self._sent = False
        self._lost_inserts = 0
        self._expected_version = 0
        self._other_claim_seen = False

    @property
    def record(self) -> OnceRecord:
        """The row to write."""
        return self._record

    @property
    def expected_version(self) -> int:
        """Row version that the next insert requires; 0 if the row must be absent."""
        return self._expected_version

    @property
    def state(self) -> ClaimState:
        """State to report to other nodes."""
        return self._state

    def begin(self) -> ClaimStep:
        """Return the first step."""
        return ClaimStep.INSERT

    def insert_committed(self) -> ClaimStep:
        """Handle an insert that was committed."""
        return ClaimStep.SEND

    def insert_conflicted(self) -> ClaimStep:
        """Handle an insert that failed because the row exists or has changed."""
        self._other_claim_seen = True
        return ClaimStep.READ

    def insert_lost(self) -> ClaimStep:
        """Handle an insert with a lost reply; the row tells if it was committed."""
        self._lost_inserts += 1
        return ClaimStep.READ

    def table_unavailable(self) -> ClaimStep:
        """Abandon the claim; the call is not sent even if an insert is committed later.

        If another claim was seen, that claim's call may have run. The step is then to
        report an unknown outcome, as the caller must not be told that no call ran.
        """
        step = self._abandon()
        return ClaimStep.OUTCOME_UNKNOWN if self._other_claim_seen else step

    def row_read(
        self, record: OnceRecord | None, version: int, wall_time: float
    ) -> ClaimStep:
        """Handle the row that was read; ``None`` if it is absent."""
        if record is not None and record.claim_id == self._record.claim_id:
            return ClaimStep.SEND
        if record is None or wall_time - record.claimed_at > RETENTION_S:
            self._expected_version = version
            self._other_claim_seen = False
            if self._lost_inserts >= MAX_LOST_INSERTS:
                return self._abandon()
            return ClaimStep.INSERT
        self._expected_version = version
        self._other_claim_seen = True
        if record.digest != self._record.digest:
            return self._defer_to_row(ClaimStep.REFUSE_REUSED_KEY)
        if record.state is RecordState.DONE:
            return self._defer_to_row(ClaimStep.RETURN)
        if record.state is RecordState.UNKNOWN:
            return self._defer_to_row(ClaimStep.OUTCOME_UNKNOWN)
        return ClaimStep.QUERY_CLAIMANT

    def claimant_answered(self, state: ClaimState | None) -> ClaimStep:
        """Handle the state sent by the row's claimant; ``None`` if it gave none."""
        match state:
            case ClaimState.NOT_SENT:
                # The claimant never sends the call after this answer, so the row may be
                # replaced as long as it is unchanged.
                self._other_claim_seen = False
                return ClaimStep.INSERT
            case ClaimState.RUNNING:
                return ClaimStep.WAIT
            case ClaimState.DONE:
                return self._defer_to_row(ClaimStep.RETURN)
        return self._defer_to_row(ClaimStep.OUTCOME_UNKNOWN)

    def begin_sending(self) -> bool:
        """Return whether the call may be sent; ``True`` at most once."""
        if self._sent or self._state is not ClaimState.RUNNING:
            return False
        self._sent = True
        return True

    def nothing_sent(self) -> ClaimStep:
        """Handle a target that could not be reached."""
        return self._abandon()

    def finished(self, outcome: Outcome) -> None:
        """Record the complete reply."""
        self._state = ClaimState.DONE
        self._record = attrs.evolve(
            self._record, state=RecordState.DONE, outcome=outcome
        )

    def reply_broken(self) -> None:
        """Record that the reply broke off or never came."""
        self._state = ClaimState.UNKNOWN
        self._record = attrs.evolve(self._record, state=RecordState.UNKNOWN)

    def _abandon(self) -> ClaimStep:
        self._state = ClaimState.NOT_SENT
        return ClaimStep.REFUSE

    def _defer_to_row(self, step: ClaimStep) -> ClaimStep:
        # The row belongs to another claim, and this one no longer sends the call.
        self._state = ClaimState.NOT_SENT
        return step


class ClaimRegistry:
    """Claims of this process, for answering other nodes' queries."""

    def __init__(self, max_claims: int = 100_000) -> None:
        """Keep up to ``max_claims`` claims; evicted ones count as ``unknown``."""
        self._max_claims = max_claims
        self._claims: dict[str, Claim] = {}

    def add(self, claim: Claim) -> None:
        """Add ``claim``; above the limit, evict the oldest one that is not running."""
        self._claims[claim.record.claim_id] = claim
        if len(self._claims) > self._max_claims:
            for claim_id, old in self._claims.items():
                if old.state is not ClaimState.RUNNING:
                    del self._claims[claim_id]
                    break

    def answer(self, claim_id: str) -> tuple[ClaimState, Outcome | None]:
        """Return the state of a claim, and its outcome if it is done."""
        claim = self._claims.get(claim_id)
        if claim is None:
            return ClaimState.UNKNOWN, None
        return claim.state, claim.record.outcome
