"""Distribution of large tables between gateways over slow links."""

from __future__ import annotations

import random
import string

import fake_platform
import gateway_parts as parts
import limited_links
import pytest

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def configuration(version, route_count):
    """Return a configuration with many routes, about 200 bytes each."""
    rng = random.Random(version)
    template = fake_platform.CONFIGURATION["routes"][0]
    routes = [
        template
        | {
            "name": "".join(rng.choices(string.ascii_lowercase, k=9)),
            "prefix": f"/{''.join(rng.choices(string.ascii_lowercase, k=7))}/",
        }
        for _ in range(route_count)
    ]
    added = {"version": version, "routes": fake_platform.CONFIGURATION["routes"]}
    return fake_platform.CONFIGURATION | added | {"routes": added["routes"] + routes}


# Guards against 404 for routes that exist: all gateways pulled a large configuration
# from one hub at once, and none completed within the fixed time limit.
@pytest.mark.parametrize(
    ("route_count", "rates_mbps"),
    [
        # Twelve gateways share a fifth of a hub's link, as 60 share the whole.
        (2000, (20, 20, 20) + 13 * (10,)),
        # A single transfer takes longer than a round trip and a lost packet.
        (2000, (2, 2, 2, 2)),
    ],
    ids=["shared", "slow"],
)
async def test_large_configuration_is_in_force_everywhere_in_time(
    route_count, rates_mbps
):
    async with limited_links.running_fleet(rates_mbps) as fleet:
        fleet.store.put("op", "config", configuration(3, route_count))
        in_time = await limited_links.wait_until(
            lambda: min(fleet.versions()) == 3, parts.BOUNDS.config_s
        )
        versions = fleet.versions()
    assert in_time, versions
