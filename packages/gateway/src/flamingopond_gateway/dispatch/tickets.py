"""A caller's request and its state from admission through all attempts."""

from __future__ import annotations

from collections.abc import Sequence

import xxhash
from attrs import define, field

from ..configuration import Route, Workspace
from ..demand import generation_cost
from ..requests import Generation, Request
from ..targets.crashes import RequestTraits, request_traits
from .loads import Work

# Without a length hint, a generation uses about half of its maximum output_tokens.
OUTPUT_FRACTION = 0.5


def prompt_key(generation: Generation | None) -> int:
    """Return a hash of the prompt parts that other requests may share, or 0.

    The last part is taken to be the request's own.
    """
    if generation is None or len(generation.parts) < 2:
        return 0
    shared_parts = ".".join(part.id for part in generation.parts[:-1])
    text = f"{generation.model}/{generation.adapter}/{shared_parts}"
    key: int = xxhash.xxh3_64_intdigest(text.encode())
    return key


def name_key(name: str) -> int:
    """Return a hash of a name that takes 5 bytes in a message."""
    key: int = xxhash.xxh32_intdigest(name.encode())
    return key


@define(eq=False)
class Ticket:
    """A request with its route, workspace and times (event loop clock, seconds).

    ``objective_deadline`` is the latest time to send it that meets the route's latency
    objective, ``deadline`` the end of the caller's or the route's time limit, and
    ``queue_deadline`` the latest time at which it is still worth sending to a target.
    ``resuming`` marks a stream that its caller has begun to receive. ``number``
    identifies the present wait, and ``unavailable`` are targets chosen by the
    dispatcher that turned out unavailable. ``software`` is the version of the targets'
    software that the stream has begun at, None before its first event; ``taken_up``
    marks one that has begun in an earlier attempt of its caller. ``caller_key`` stays
    the same for a caller that comes back after a refusal, see ``returning``. By its
    ``traits`` a request that crashes targets is recognised.
    """

    request: Request
    route: Route
    service: str
    workspace: Workspace | None
    arrived_at: float
    objective_deadline: float
    deadline: float
    queue_deadline: float
    priority_rank: int
    tried: list[str] = field(factory=list)
    last_event_id: int | None = None
    possibly_ran: bool = False
    resuming: bool = False
    number: int = 0
    unavailable: list[str] = field(factory=list)
    software: str | None = None
    taken_up: bool = False
    returning: bool = False
    prompt_key: int = field(init=False)
    workspace_key: int = field(init=False)
    route_key: int = field(init=False)
    caller_key: int = field(init=False)
    traits: RequestTraits = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Compute the keys and the traits."""
        self.workspace_key = name_key(self.workspace.name) if self.workspace else 0
        self.route_key = name_key(self.route.name)
        request = self.request
        self.caller_key = name_key(
            f"{request.key}/{self.route.name}/{len(request.body)}"
        )
        self.prompt_key = prompt_key(self.request.generation)
        self.traits = request_traits(self.service, self.request)

    @property
    def model(self) -> str | None:
        """Name of the requested model, if this is a generation."""
        generation = self.request.generation
        return generation.model if generation is not None else None

    @property
    def adapter(self) -> str | None:
        """Name of the requested adapter, if any."""
        generation = self.request.generation
        return generation.adapter if generation is not None else None

    @property
    def excluded(self) -> Sequence[str]:
        """Targets already tried, or known here to be unavailable."""
        return self.tried + self.unavailable

    @property
    def zone(self) -> str | None:
        """None, since the request waits at this gateway."""
        return None

    @property
    def attempts_left(self) -> int:
        """Number of attempts that the route still allows."""
        return self.route.max_attempts - len(self.tried)

    @property
    def work(self) -> Work:
        """Load that the request puts on a target."""
        generation = self.request.generation
        if generation is None:
            return Work(requests=1)
        output_tokens = generation.expected_output_tokens
        if generation.length_hint is None:
            output_tokens = int(output_tokens * OUTPUT_FRACTION)
        return Work(
            requests=1,
            prefill_tokens=generation.prompt_tokens,
            kv_tokens=generation.prompt_tokens + output_tokens,
        )

    @property
    def cost(self) -> int:
        """Cost of the request for an engine, in prompt tokens."""
        work = self.work
        return generation_cost(
            work.prefill_tokens, work.kv_tokens - work.prefill_tokens
        )

    def resume(self, now: float) -> None:
        """Mark the stream as interrupted; it waits for another target."""
        self.resuming = True
        if self.route.stall_s is not None:
            self.queue_deadline = min(self.deadline, now + self.route.stall_s)

    def late(self, now: float) -> bool:
        """Whether the request can no longer meet the latency objective."""
        return now > self.objective_deadline
