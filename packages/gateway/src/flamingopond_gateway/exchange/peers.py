"""Transport between gateways: UDP for messages, TCP for ``pulls`` of table rows."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence

import msgspec
import structlog
from attrs import define

from ..messages import Datagram, decode_datagram, encode, message_kind
from ..metrics import Metrics
from ..settings import Address
from .distribution import bursts
from .pulls import PullServer

# All gateways of a large fleet may ask for a new version within a few milliseconds; a
# SYN that is dropped is sent again after 1 s.
PULL_BACKLOG = 1024
# Largest payload of an IPv4 UDP datagram.
MAX_DATAGRAM_BYTES = 65507

log = structlog.get_logger()


class _DatagramReceiver(asyncio.DatagramProtocol):
    """Decodes datagrams and drops malformed ones."""

    def __init__(self, on_message: Callable[[Datagram, Address], None]) -> None:
        self._on_message = on_message

    def datagram_received(self, data: bytes, address: Address) -> None:
        try:
            message = decode_datagram(data)
        except (msgspec.MsgspecError, RecursionError) as error:
            log.warning("malformed datagram", sender=address[0], reason=str(error))
            return
        self._on_message(message, address)

    def error_received(self, error: Exception) -> None:
        # Nothing listens on the peer's port; its silence is detected anyway.
        return


@define(eq=False)
class PeerLink:
    """Sends and receives the messages of one gateway, and accepts its pulls."""

    address: Address
    on_message: Callable[[Datagram, Address], None]
    pull_server: PullServer
    metrics: Metrics
    _transport: asyncio.DatagramTransport | None = None

    async def open(self) -> asyncio.Server:
        """Listen for datagrams and pulls."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(self.on_message), local_addr=self.address
        )
        self._transport = transport
        return await asyncio.start_server(
            self.pull_server.serve, *self.address, backlog=PULL_BACKLOG
        )

    def close(self) -> None:
        """Stop sending and receiving datagrams."""
        if self._transport is not None:
            self._transport.close()

    def send(self, message: Datagram, addresses: Iterable[Address]) -> None:
        """Send a message to other gateways; it may be lost."""
        self._send(message_kind(message), encode(message), addresses)

    def send_paced(
        self,
        message: Datagram,
        addresses: Sequence[Address],
        link_mbps: float,
        within_s: float,
    ) -> None:
        """Send a message to many gateways in bursts that the link can carry."""
        kind, data = message_kind(message), encode(message)
        loop = asyncio.get_running_loop()
        begin = 0
        for delay_s, count in bursts(len(addresses), len(data), link_mbps, within_s):
            receivers = addresses[begin : begin + count]
            begin += count
            if delay_s:
                loop.call_later(delay_s, self._send, kind, data, receivers)
            else:
                self._send(kind, data, receivers)

    def _send(self, kind: str, data: bytes, addresses: Iterable[Address]) -> None:
        if self._transport is None or len(data) > MAX_DATAGRAM_BYTES:
            self.metrics.count_datagram(kind, "not_sent", len(data))
            log.error(
                "message too large or transport closed", kind=kind, size=len(data)
            )
            return
        if self._transport.is_closing():
            # A later burst of a gateway that ends.
            return
        for address in addresses:
            self.metrics.count_datagram(kind, "sent", len(data))
            self._transport.sendto(data, address)
