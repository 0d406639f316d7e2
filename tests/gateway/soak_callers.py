"""Callers of a soak, which keep their connections until a gateway closes them."""

from __future__ import annotations

import asyncio
import contextlib

import path_parts as path
import soak_checks as checks
from soak_parts import EXTRA_KEYS, EXTRA_ROUTES, LONG_PATH

DEADLINE_MS = int(checks.DEADLINE_S * 1000)
# A caller gives up this long after its deadline.
LATE_S = 1.0
# A caller that no gateway accepts tries again after this time.
REFUSED_PAUSE_S = 0.5
# Fraction of the requests that take up a stream, if there is one that has broken off.
TAKE_UPS = 0.7
STYLES = ("serial", "pipelined", "slow")


async def read_response(reader, data):
    """Append one response to ``data``, also what arrives of an incomplete one."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        data += head
        length = checks.content_length(head)
        if length is not None:
            data += await reader.readexactly(length)
            return
        size = -1
        while size:
            line = await reader.readuntil(b"\r\n")
            data += line
            size = int(line, 16)
            data += await reader.readexactly(size + 2)
    except asyncio.IncompleteReadError as error:
        data += error.partial
        raise


class Caller:
    """Sends requests one after another or pipelined, some of them slowly.

    It sends on one connection until the gateway closes it or asks to close it with
    ``Connection: close``, then opens one to any gateway.
    """

    def __init__(self, name, style, gateways, record, rng):
        self._name = name
        self._style = style
        self._gateways = gateways
        self._record = record
        self._rng = rng
        self._sent = 0
        # Streams that have broken off after some events.
        self._broken = []

    async def run(self, stopped):
        """Send requests until the event ``stopped`` is set."""
        while not stopped.is_set():
            order = self._rng.sample(self._gateways, len(self._gateways))
            for gateway in order:
                # Only connecting raises this: the gateway is down.
                with contextlib.suppress(ConnectionError):
                    await self._use_connection(gateway, stopped)
                    break
            else:
                self._random_exchange(order[0])
                await asyncio.sleep(REFUSED_PAUSE_S)
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    async def send(self, gateway, stream):
        """Send one request on a new connection; return the exchange."""
        prefix = "/drafts/" if stream else "/orders/"
        exchange = self._exchange(gateway, prefix, "key-1")
        with contextlib.suppress(OSError):
            async with self._connection(gateway) as streams:
                await self._converse(*streams, [exchange])
        return exchange

    @contextlib.asynccontextmanager
    async def _connection(self, gateway):
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.ports[0])
        try:
            yield reader, writer
        finally:
            writer.transport.abort()

    async def _use_connection(self, gateway, stopped):
        pause_s = 1.0 if self._style == "slow" else 0.05
        async with self._connection(gateway) as streams:
            while not stopped.is_set():
                count = self._rng.randint(2, 3) if self._style == "pipelined" else 1
                exchanges = [self._random_exchange(gateway) for _ in range(count)]
                if not await self._converse(*streams, exchanges):
                    return
                await asyncio.sleep(self._rng.uniform(0.0, pause_s))

    def _take_up(self, gateway):
        """Return a request that goes on with a stream that has broken off."""
        broken = self._broken.pop()
        exchange = self._exchange(gateway, "/drafts/", "key-1")
        exchange.resumes = broken.resumes or broken.request_id
        exchange.first_event = checks.event_numbers(broken.response)[-1] + 1
        return exchange

    def _random_exchange(self, gateway):
        rng = self._rng
        if self._broken and rng.random() < TAKE_UPS:
            return self._take_up(gateway)
        choice = rng.random()
        if choice < 0.8:
            prefix = "/drafts/" if choice < 0.4 else "/orders/"
            return self._exchange(gateway, prefix, "key-1")
        prefix = rng.choice(("/orders/", "/never/", *EXTRA_ROUTES))
        return self._exchange(
            gateway, prefix, rng.choice(("key-1", "never", *EXTRA_KEYS))
        )

    def _exchange(self, gateway, prefix, key):
        self._sent += 1
        now = asyncio.get_running_loop().time()
        exchange = checks.Exchange(
            f"{self._name}-{self._sent}",
            prefix == "/drafts/",
            node=gateway.node,
            sent_at=now,
            ended_at=now,
            prefix=prefix,
            key=key,
        )
        self._record.exchanges.append(exchange)
        return exchange

    async def _converse(self, reader, writer, exchanges):
        """Send requests and read their responses; return whether to go on."""
        loop = asyncio.get_running_loop()
        unanswered = list(exchanges)
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + LATE_S):
                for exchange in exchanges:
                    await self._write(writer, exchange)
                    exchange.sent_at = loop.time()
                    exchange.sent = True
                while unanswered:
                    exchange = unanswered[0]
                    await read_response(reader, exchange.response)
                    exchange.ended_at = loop.time()
                    del unanswered[0]
                    if checks.announces_close(exchange.response):
                        return False
                    await asyncio.sleep(checks.retry_after_s(exchange.response))
            return True
        except (OSError, asyncio.IncompleteReadError):
            for exchange in unanswered:
                exchange.cut = exchange.sent
            return False
        except (TimeoutError, ValueError):
            # The caller gives up, or the response can't be read to its end.
            return False
        finally:
            closes = False
            for exchange in exchanges:
                exchange.behind_close = closes
                closes = closes or checks.announces_close(exchange.response)
            for exchange in unanswered:
                exchange.ended_at = loop.time()
            self._broken += [
                exchange
                for exchange in unanswered
                if exchange.stream
                and checks.event_numbers(exchange.response)
                and checks.event_numbers(exchange.response)[-1] < self._record.events
            ]

    async def _write(self, writer, exchange):
        fields = {}
        if exchange.stream:
            prompt = f"first:30,group-{self._name}:30,own-{exchange.request_id}:40"
            fields = {"X_Model": "m0", "X_Tokens": "100,20", "X_Prompt_Prefix": prompt}
        if exchange.resumes:
            fields["Resumes"] = exchange.resumes
            fields["Last_Event_Id"] = exchange.first_event - 1
        target = f"{exchange.prefix}1"
        if exchange.stream and self._rng.random() < 0.1:
            target = LONG_PATH
        data = path.request_bytes(target, exchange.request_id, DEADLINE_MS, **fields)
        data = data.replace(b"Connection: close\r\n", b"")
        data = data.replace(b"Bearer key-1", b"Bearer %b" % exchange.key.encode())
        parts = [data]
        if self._style == "slow":
            cut = self._rng.randrange(1, len(data))
            parts = [data[:cut], data[cut:]]
        for number, part in enumerate(parts):
            if number:
                await asyncio.sleep(self._rng.uniform(0.0, 0.4))
            writer.write(part)
            await writer.drain()
