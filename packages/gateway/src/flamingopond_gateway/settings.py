"""Settings of a gateway process."""

from __future__ import annotations

from attrs import frozen

Address = tuple[str, int]

BYTES_PER_S_PER_MBPS = 125000
# Of the ``contracts``: fair shares and early refusals under overload.
PRESSURE_CONTRACT = "pressure"


@frozen
class Bounds:
    """Bounds that the deployment guarantees, in seconds, ratios and counts.

    A cold target may get ``cold_over`` times the requests per second that its service
    names, and ``cold_slack`` more. The targets of an evacuated zone get none from
    ``evacuation_s`` after the operator's request.
    """

    stable_s: float
    drain_s: float
    grace_s: float
    config_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    quota_window_s: float
    quota_over: float
    quota_slack: float
    lease_s: float
    thaw_s: float
    load_window_s: float
    load_over: float
    cold_over: float = 1.0
    cold_slack: float = 0.0
    evacuation_s: float = 5.0


@frozen
class ClientLimits:
    """Limits on what all callers together may hold of a process.

    ``memory_share`` of the memory is for bodies and unread output; above
    ``resident_share`` of it, bodies end. ``reserved_descriptors`` are kept for files.
    ``max_connections`` bounds the callers' connections; without it the descriptors of
    the process do.
    """

    memory_share: float = 0.5
    resident_share: float = 0.85
    reserved_descriptors: int = 200
    max_connections: int | None = None


@frozen
class GatewaySettings:
    """Addresses, limits and bounds of one gateway process.

    ``first_start`` is set at the first start of the whole system only, not at each
    start of this process. ``max_row_bytes`` is the largest value of a row in the store.
    ``memory_mb`` is the memory above which the platform kills the process.
    ``descriptors`` are those that the process may have, if the file says so.
    ``contracts`` names the parts of the platform's rules that the deployment keeps.
    """

    node: str
    zone: str
    ip: str
    front: Address
    ready: Address
    peer_port: int
    metrics_port: int
    store: Address
    max_row_bytes: int
    first_start: bool
    heartbeat_s: float
    link_mbps: float
    memory_mb: float
    bounds: Bounds
    contracts: frozenset[str] = frozenset()
    descriptors: int | None = None
    clients: ClientLimits = ClientLimits()
