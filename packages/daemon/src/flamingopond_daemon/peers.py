"""Calls between daemons over Cap'n Proto RPC, authenticated by a shared secret."""

from __future__ import annotations

import hashlib
import hmac
import importlib.resources
import math
import os
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import anyio
import attrs
import capnp

from flamingopond_core.exceptions import FlamingopondError

Handler = Callable[[dict[str, Any]], Awaitable[Mapping[str, Any]]]

CALL_TIMEOUT_S = 1.0
CALLER_ROLE = b"flamingopond caller"
CALLEE_ROLE = b"flamingopond callee"
NONCE_BYTES = 32
_METHODS = (
    "exchange",
    "fetchConfiguration",
    "pushChangeSet",
    "requestGrant",
    "settle",
    "claimState",
    "handOver",
    "listHoldings",
    "events",
    "offerShards",
    "takeShards",
)


class PeerUnavailableError(FlamingopondError):
    """A peer could not be reached, refused the call or did not answer in time."""


class PeerExitedError(PeerUnavailableError):
    """Nothing listens on the peer's port, so its process has ended.

    A daemon keeps its peer port bound for as long as it runs, even while paused. A
    lost VM or a network failure causes a time-out instead.
    """


def _load_schema() -> Any:
    package = importlib.resources.files("flamingopond_daemon")
    with importlib.resources.as_file(package / "peer.capnp") as path:
        return capnp.load(str(path))


_schema = _load_schema()
_GateServer: Any = _schema.Gate.Server
_PeerServerBase: Any = _schema.Peer.Server


@attrs.frozen
class Handshake:
    """Names and nonces of both ends of one connection."""

    caller: str
    callee: str
    caller_nonce: bytes
    callee_nonce: bytes

    def compute_proof(self, secret: bytes, role: bytes) -> bytes:
        """Return the proof that the end with the given role knows the secret.

        The role prevents reflection: a proof is not valid for the other end.
        """
        parts = (
            role,
            self.caller_nonce,
            self.callee_nonce,
            self.caller.encode(),
            self.callee.encode(),
        )
        # Length prefixes: different parts must not concatenate to the same message.
        message = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
        return hmac.new(secret, message, hashlib.sha256).digest()

    def verify(self, secret: bytes, role: bytes, proof: bytes) -> None:
        """Raise ``PeerUnavailableError`` unless ``proof`` is right for ``role``."""
        if not hmac.compare_digest(self.compute_proof(secret, role), proof):
            raise PeerUnavailableError("the deployment secret does not match")


@attrs.define
class _Connection:
    """An open, authenticated connection to one address."""

    address: str
    stream: Any
    client: Any
    peer: Any

    def close(self) -> None:
        """Close the stream; calls in flight on it fail."""
        self.stream.close()


class Peers:
    """Calls peers by member name, and serves their calls.

    ``name`` is this node's name, ``secret`` the deployment's secret and
    ``listen`` the ``ip:port`` of the peer port. Must be used inside
    ``capnp.kj_loop()``. Methods and parameters are named as in ``peer.capnp``.
    """

    def __init__(
        self,
        name: str,
        secret: bytes,
        listen: str,
        *,
        max_connections: int = 1024,
        max_calls: int = 256,
    ) -> None:
        """Store the settings; no socket is opened yet."""
        self._name = name
        self._secret = secret
        self._listen = listen
        self._addresses: dict[str, str] = {}
        self._handlers: dict[str, Handler] = {}
        self._connections: dict[str, _Connection] = {}
        self._locks: dict[str, anyio.Lock] = {}
        self._max_connections = max_connections
        self._accepted_streams: set[Any] = set()
        self._max_calls = max_calls
        self._calls_in_progress = 0
        self._call_slots = anyio.Semaphore(max_calls)
        self._listening = anyio.Event()

    @property
    def name(self) -> str:
        """Name of this node."""
        return self._name

    @property
    def listening(self) -> anyio.Event:
        """Set as soon as the peer port is bound."""
        return self._listening

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Replace the members' ``ip:port``; drop connections to other addresses."""
        self._addresses = dict(addresses)
        for member in list(self._connections):
            if self._connections[member].address != self._addresses.get(member):
                self._drop(member)
        for member in list(self._locks):
            if member not in self._addresses and not self._locks[member].locked():
                del self._locks[member]

    def serve(self, method: str, handler: Handler) -> None:
        """Register ``handler(params)``, which returns the results of ``method``."""
        if method not in _METHODS:
            raise ValueError(f"unknown peer method {method!r}")
        self._handlers[method] = handler

    async def call(self, member: str, method: str, **params: Any) -> dict[str, Any]:
        """Call ``method`` of ``member`` and return its results.

        Raises ``PeerUnavailableError`` after ``CALL_TIMEOUT_S`` seconds at most,
        which include the time to connect.
        """
        if method not in _METHODS:
            raise ValueError(f"unknown peer method {method!r}")
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                async with self._call_slots:
                    connection = await self._connect(member)
                    reply = await getattr(connection.peer, method)(**params)
                    result: dict[str, Any] = reply.to_dict()
                    return result
        except TimeoutError as error:
            # The connection may be dead without having been closed.
            self._drop(member)
            raise PeerUnavailableError(f"{member}: {method} timed out") from error
        except capnp.KjException as error:
            if error.type == "DISCONNECTED":
                self._drop(member)
            reason = str(error.description).removeprefix("remote exception: ")
            raise PeerUnavailableError(f"{member}: {method}: {reason}") from error
        except ConnectionRefusedError as error:
            self._drop(member)
            raise PeerExitedError(f"{member}: {method}: {error}") from error
        except OSError as error:
            self._drop(member)
            raise PeerUnavailableError(f"{member}: {method}: {error}") from error

    async def run_server(self) -> None:
        """Bind the peer port and answer calls until cancelled.

        The port is bound exclusively (no ``SO_REUSEPORT``): a process that has
        bound it knows that no earlier process of this VM still serves peers.
        """
        host, _, port = self._listen.rpartition(":")
        server = await capnp.AsyncIoStream.create_server(
            self._serve_connection, host, int(port)
        )
        self._listening.set()
        try:
            async with server:
                await anyio.sleep(math.inf)
        finally:
            for stream in list(self._accepted_streams):
                stream.close()
            for member in list(self._connections):
                self._drop(member)

    async def _connect(self, member: str) -> _Connection:
        lock = self._locks.setdefault(member, anyio.Lock())
        async with lock:
            connection = self._connections.get(member)
            if connection is not None:
                return connection
            address = self._addresses.get(member)
            if address is None:
                raise PeerUnavailableError(f"{member}: address is not known")
            host, _, port = address.rpartition(":")
            stream = await capnp.AsyncIoStream.create_connection(
                host=host, port=int(port)
            )
            try:
                client = capnp.TwoPartyClient(stream)
                gate = client.bootstrap().cast_as(_schema.Gate)
                nonce = os.urandom(NONCE_BYTES)
                reply = await gate.challenge(node=self._name, nonce=nonce)
                if reply.node != member:
                    raise PeerUnavailableError(f"{member}: {address} is {reply.node}")
                handshake = Handshake(self._name, member, nonce, reply.nonce)
                handshake.verify(self._secret, CALLEE_ROLE, reply.proof)
                proof = handshake.compute_proof(self._secret, CALLER_ROLE)
                peer = (await gate.open(proof=proof)).peer
            except BaseException:
                stream.close()
                raise
            connection = _Connection(address, stream, client, peer)
            self._connections[member] = connection
            return connection

    def _drop(self, member: str) -> None:
        connection = self._connections.pop(member, None)
        if connection is not None:
            connection.close()

    async def _serve_connection(self, stream: Any) -> None:
        if len(self._accepted_streams) >= self._max_connections:
            stream.close()
            return
        self._accepted_streams.add(stream)
        try:
            server = capnp.TwoPartyServer(stream, bootstrap=_Gate(self))
            await server.on_disconnect()
        finally:
            self._accepted_streams.discard(stream)
            stream.close()

    async def _dispatch(self, method: str, context: Any) -> None:
        handler = self._handlers.get(method)
        if handler is None:
            raise PeerUnavailableError(f"{method} is not served")
        if self._calls_in_progress >= self._max_calls:
            raise PeerUnavailableError("too many calls at once")
        self._calls_in_progress += 1
        try:
            results = await handler(context.params.to_dict())
        finally:
            self._calls_in_progress -= 1
        for field, value in results.items():
            setattr(context.results, field, value)


class _Gate(_GateServer):  # type: ignore[misc]
    """Gives the peer interface to callers that prove that they know the secret."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._handshake: Handshake | None = None

    async def challenge_context(self, context: Any) -> None:
        params = context.params
        if len(params.nonce) != NONCE_BYTES:
            raise PeerUnavailableError(f"the nonce must have {NONCE_BYTES} bytes")
        name, secret = self._peers._name, self._peers._secret
        nonce = os.urandom(NONCE_BYTES)
        self._handshake = Handshake(params.node, name, params.nonce, nonce)
        context.results.node = name
        context.results.nonce = nonce
        context.results.proof = self._handshake.compute_proof(secret, CALLEE_ROLE)

    async def open_context(self, context: Any) -> None:
        handshake, self._handshake = self._handshake, None
        if handshake is None:
            raise PeerUnavailableError("no challenge was asked for")
        handshake.verify(self._peers._secret, CALLER_ROLE, context.params.proof)
        context.results.peer = _PeerServer(self._peers)


class _PeerServer(_PeerServerBase):  # type: ignore[misc]
    """Dispatches each method of the schema to its registered handler."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers


def _make_method(method: str) -> Callable[[Any, Any], Awaitable[None]]:
    async def dispatch(self: Any, context: Any) -> None:
        await self._peers._dispatch(method, context)

    return dispatch


for _method in _METHODS:
    setattr(_PeerServer, f"{_method}_context", _make_method(_method))
