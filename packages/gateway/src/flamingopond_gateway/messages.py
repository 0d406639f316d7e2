"""Messages between gateways; each may be lost, repeated or arrive late."""

from __future__ import annotations

import msgspec


class TargetWork(msgspec.Struct, array_like=True, frozen=True):
    """The sender's in-flight work at one target; see ``loads.Work``."""

    target: str
    requests: int
    prefill_tokens: int
    kv_tokens: int


class WaitingDemand(msgspec.Struct, array_like=True, frozen=True):
    """The sender's waiting requests for a model or adapter.

    ``cost`` is in prompt tokens, ``waited_ms`` the wait of the oldest request and
    ``slack_ms`` the shortest time left until one of them would be late.
    """

    service: str
    model: str
    adapter: str
    requests: int
    cost: int
    waited_ms: int
    slack_ms: int


class ModelRate(msgspec.Struct, array_like=True, frozen=True):
    """Recent demand for a model at the sender, in cost per second.

    ``fast`` is averaged over about one second, ``slow`` over about three.
    """

    service: str
    model: str
    fast: int
    slow: int


class InFlightCount(msgspec.Struct, array_like=True, frozen=True):
    """The sender's in-flight requests for a model or adapter at a target."""

    target: str
    model: str
    adapter: str
    requests: int


class PublishedLimit(msgspec.Struct, array_like=True, frozen=True):
    """A limit that a target has named, in thousandths of a request per second.

    ``milli_rate`` is -1 if a newer response came without a limit. ``age_ms`` is the age
    of the response, ``source`` the gateway that received it.
    """

    target: str
    start_id: int
    milli_rate: int
    age_ms: int
    source: str


class PublishedDuration(msgspec.Struct, array_like=True, frozen=True):
    """How long work takes at a target by its own figure, in percent of the usual time.

    ``age_ms`` is the age of the newest response with such a figure.
    """

    target: str
    start_id: int
    percent: int
    age_ms: int


class BegunStreams(msgspec.Struct, array_like=True, frozen=True):
    """Streams whose first event came from a software version of a service.

    ``keys`` are 8 bytes each; see ``stream_records.stream_key``.
    """

    service: str
    software: str
    keys: bytes


class ServiceVersions(msgspec.Struct, array_like=True, frozen=True):
    """Software versions of a service at which streams may have begun.

    ``seen_ms`` is when each was last listed, by the store's clock: with ages, two hubs
    that repeat each other's news would add the time on the way again and again.
    """

    service: str
    seen_ms: dict[str, int]


class GatewayReport(msgspec.Struct, array_like=True, frozen=True, tag="report"):
    """Load report of a gateway to the hubs and the holder of the placement lease.

    ``registration_version`` is the version of the sender's row in the members table,
    which grows with each of its starts; ``number`` grows with each message.
    ``capacity`` is its link's rate in Mbit/s. ``versions`` are those of its table
    copies; ``watching`` is set if it reads them from the store itself.
    ``store_failure_age_ms`` is the age of its last failed call to the store, -1000
    for none. ``fence`` is the fencing token of the placement lease if the sender holds
    it, else 0. ``admitted`` are running totals by workspace.
    ``targets_with_stale_holdings`` turned away a request for a model they were
    listed with. ``limits`` are those that the sender has heard lately, ``dispatcher``
    is the hub that it leaves the choice of targets to. ``begun`` are streams that have
    begun there lately, ``durations`` the newest figures in responses to the sender.
    """

    node: str
    registration_version: int
    number: int
    port: int
    capacity: int
    leaving: bool
    watching: bool
    store_failure_age_ms: int
    versions: dict[str, int]
    fence: int
    work: list[TargetWork]
    admitted: dict[str, int]
    waiting_demand: list[WaitingDemand]
    demand_rates: list[ModelRate]
    in_flight: list[InFlightCount]
    targets_with_stale_holdings: list[str]
    limits: list[PublishedLimit] = []
    dispatcher: str = ""
    begun: list[BegunStreams] = []
    durations: list[PublishedDuration] = []


class PendingRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request that waits at the sender for a model engine.

    ``number`` identifies the wait at the sender. ``prefill_tokens`` is its prompt and
    ``kv_tokens`` its KV cache, both in tokens. ``objective_deadline_ms`` is the time
    left to send it within the latency objective, ``queue_deadline_ms`` the time left
    until it is no longer worth sending, both from the sending of the message.
    ``prompt_key`` is a hash of the prompt parts shared with other requests, 0 for
    none. The request must not be sent to ``excluded`` targets, and with ``software``
    only to those of that software version. ``workspace_key`` and ``route_key`` are
    hashes of the names, 0 where the order of requests doesn't depend on them;
    ``caller_key`` is a hash by which a caller that returns after a refusal is
    recognized, and ``returning`` is set for one that has been. ``deadline_ms`` is the
    time left until the caller gives up, -1 if unknown.
    """

    number: int
    service: str
    model: str
    adapter: str
    prefill_tokens: int
    kv_tokens: int
    priority_rank: int
    objective_deadline_ms: int
    queue_deadline_ms: int
    prompt_key: int
    excluded: list[str]
    software: str | None = None
    workspace_key: int = 0
    route_key: int = 0
    caller_key: int = 0
    returning: bool = False
    deadline_ms: int = -1


class RefusedCaller(msgspec.Struct, array_like=True, frozen=True):
    """A caller that the sender refused for lack of capacity.

    ``number`` is that of the wait, ``due_ms`` the time left of its Retry-After.
    """

    number: int
    caller_key: int
    due_ms: int


class DispatchRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """Asks the dispatcher for targets; replaces its earlier requests.

    ``registration_version`` and ``number`` order the messages of a sender, as in a
    report. ``work`` is that of the sender's in-flight requests. The sender currently
    does not use the ``unusable_targets``: because of failures, or of what they said
    in responses to it. ``refused`` are callers that were refused in the last moments.
    """

    node: str
    registration_version: int
    number: int
    port: int
    zone: str
    pending: list[PendingRequest]
    work: list[TargetWork]
    unusable_targets: list[str]
    refused: list[RefusedCaller] = []


class TargetAssignment(msgspec.Struct, array_like=True, frozen=True):
    """The target of one pending request; ``start_id`` identifies its incarnation.

    ``cold`` marks a request that has been counted for a cold target.
    """

    number: int
    target: str
    start_id: int
    cold: bool = False


class DispatchReply(msgspec.Struct, array_like=True, frozen=True, tag="grant"):
    """Answers dispatch requests.

    ``answered_number`` is the message number of the newest one received. ``returning``
    are the pending requests of callers that have come back after a refusal, ``refused``
    those that can't be served in time, with their estimated waits in ms.
    """

    node: str
    answered_number: int
    granted: list[TargetAssignment]
    returning: list[int] = []
    refused: list[tuple[int, int]] = []


class Joined(msgspec.Struct, array_like=True, frozen=True):
    """A gateway that a hub has recently learned of."""

    node: str
    ip: str
    port: int
    registration_version: int
    capacity: int


class Summary(msgspec.Struct, array_like=True, frozen=True, tag="summary"):
    """Summary of all reports that a hub sends to the gateways reporting to it.

    ``reporting_count`` counts the gateways with a recent report, the hub included;
    ``silent`` are the others. ``watchers`` counts those that currently read the store,
    and ``store_reliable`` is set if removals in the store can be trusted. ``versions``
    are the newest of each table, each with a gateway that has it. ``lease_holder`` is
    the holder of the placement lease and ``fence`` its fencing token. ``work`` and
    ``admitted`` are totals over all gateways, the receiver included. ``limits`` are all
    that the hub knows, ``durations`` averages of what all gateways have heard lately.
    ``software`` are the services with several software versions.
    """

    node: str
    registration_version: int
    number: int
    reporting_count: int
    silent: list[str]
    joined: list[Joined]
    watchers: int
    store_reliable: bool
    versions: dict[str, tuple[int, str]]
    lease_holder: str
    fence: int
    work: list[TargetWork]
    admitted: dict[str, int]
    limits: list[PublishedLimit] = []
    durations: list[PublishedDuration] = []
    software: list[ServiceVersions] = []


class EngineHoldings(msgspec.Struct, array_like=True, frozen=True):
    """Models held by one incarnation of an engine, as the lease holder knows them.

    ``models`` maps each model to its version and loaded adapters.
    """

    target: str
    start_id: int
    models: dict[str, tuple[int, list[str]]]


class Holdings(msgspec.Struct, array_like=True, frozen=True, tag="holdings"):
    """Models and adapters loaded on some engines; newer by ``fence``, then ``number``.

    ``backlog_waits_ms`` is, by service and model, the estimated time in ms to serve the
    present backlog of all gateways; models without a backlog are left out.
    ``late_request_waits_ms`` is the same for requests that are already late.
    ``loads_by_age`` counts the loads from the weight store that the lease holder has
    started lately, by age in whole seconds.
    """

    node: str
    fence: int
    number: int
    engines: list[EngineHoldings]
    backlog_waits_ms: dict[str, dict[str, int]] | None = None
    late_request_waits_ms: dict[str, dict[str, int]] | None = None
    loads_by_age: list[int] = []


class PublishedExposure(msgspec.Struct, array_like=True, frozen=True):
    """A request that a target had not begun to answer when it crashed.

    ``crash`` and ``request`` are keys of the crash and of the request; see ``crashes``.
    Ages count from the sending of the message.
    """

    crash: int
    request: int
    sent_age_ms: int
    crash_age_ms: int


class PublishedSuspect(msgspec.Struct, array_like=True, frozen=True):
    """What the sender knows of a trait of requests in flight at crashes.

    ``begun_age_ms`` is the age of the newest begun answer to a request with it,
    ``named_age_ms`` that of its naming, -1 for never.
    """

    key: int
    label: str
    begun_age_ms: int
    named_age_ms: int
    exposures: list[PublishedExposure]


class CrashReport(msgspec.Struct, array_like=True, frozen=True, tag="crashes"):
    """Suspects known to the sender; whatever the receiver knows of them is kept."""

    node: str
    suspects: list[PublishedSuspect]


class StreamsBegun(msgspec.Struct, array_like=True, frozen=True, tag="begun"):
    """Asks a hub to store where streams have begun, before they go on.

    ``port`` is the sender's for datagrams.
    """

    node: str
    port: int
    begun: list[BegunStreams]


class StreamsStored(msgspec.Struct, array_like=True, frozen=True, tag="stored"):
    """Tells a gateway that the store has the records of ``keys``, 8 bytes each."""

    node: str
    keys: bytes


class StreamsSought(msgspec.Struct, array_like=True, frozen=True, tag="sought"):
    """Asks a hub where streams have begun; ``keys`` are 8 bytes each.

    ``port`` is the sender's for datagrams.
    """

    node: str
    port: int
    keys: bytes


class StreamsFound(msgspec.Struct, array_like=True, frozen=True, tag="found"):
    """Tells a gateway what the sender knows of the streams ``sought``."""

    node: str
    sought: bytes
    begun: list[BegunStreams]


class WireRow(msgspec.Struct, array_like=True, frozen=True):
    """A row of a table copy as sent to a peer.

    With a ``base_version``, ``value`` is the difference from the row at that version.
    """

    part: str
    key: str
    value: bytes
    version: int
    removed: bool
    base_version: int = 0


class RowVersion(msgspec.Struct, array_like=True, frozen=True):
    """A row of which the sender has the value at ``version``."""

    part: str
    key: str
    version: int


class Pull(msgspec.Struct, array_like=True, frozen=True, tag="pull"):
    """Asks a peer for the rows of a table that are newer than ``after``.

    ``node`` is the sender and ``link_mbps`` the rate of its link. ``compressed`` is set
    if it can read compressed frames. Of the rows in ``present``, differences will do.
    """

    table: str
    after: int
    node: str = ""
    link_mbps: int = 0
    compressed: bool = False
    present: list[RowVersion] = []


class Relay(msgspec.Struct, array_like=True, frozen=True, tag="relay"):
    """Asks a peer to connect to a target and to copy bytes both ways.

    ``node`` is the sender, which doesn't reach the target itself. ``framed`` is whether
    it takes the bytes of the target in frames; the previous version ignores it.
    """

    node: str
    target: str
    framed: bool = False


class Pulled(msgspec.Struct, array_like=True, frozen=True, tag="pulled"):
    """Answers a pull; ``available`` is false if the peer sends no rows.

    It has no copy of the table then, or is ``busy`` and names other ``holders``. If
    ``whole_at`` is not 0, it is the content version of the peer's copy, and rows that
    are not listed have been removed.
    """

    table: str
    available: bool
    version: int
    rows: list[WireRow]
    busy: bool = False
    holders: list[str] = []
    whole_at: int = 0


Datagram = (
    GatewayReport
    | Summary
    | Holdings
    | DispatchRequest
    | DispatchReply
    | CrashReport
    | StreamsBegun
    | StreamsStored
    | StreamsSought
    | StreamsFound
)

_encoder = msgspec.msgpack.Encoder()
_datagram_decoder = msgspec.msgpack.Decoder(Datagram)
_peer_request_decoder = msgspec.msgpack.Decoder(Pull | Relay)
_pulled_decoder = msgspec.msgpack.Decoder(Pulled)


def encode(message: Datagram | Pull | Pulled | Relay) -> bytes:
    """Encode a message as MessagePack."""
    return _encoder.encode(message)


def message_kind(message: Datagram) -> str:
    """Return the name of a message's type, as on the wire."""
    return str(message.__struct_config__.tag)


def decode_datagram(data: bytes) -> Datagram:
    """Decode a datagram; raises msgspec.MsgspecError if it is malformed."""
    return _datagram_decoder.decode(data)


def decode_peer_request(data: bytes) -> Pull | Relay:
    """Decode what a peer asks for; raises msgspec.MsgspecError if it is malformed."""
    return _peer_request_decoder.decode(data)


def decode_pulled(data: bytes) -> Pulled:
    """Decode the answer to a pull; raises msgspec.MsgspecError if it is malformed."""
    return _pulled_decoder.decode(data)
