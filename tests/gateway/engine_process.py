"""An engine in a process of its own, which can be killed like a real one.

It prints its port, and sends the events of ``test_gateway_relayed_ends`` one by one in
the form that ``X-Form`` asks for.
"""

from __future__ import annotations

import asyncio

import test_gateway_relayed_ends as ends


async def main():
    target = ends.SlowTarget()
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
