"""Tests of the operator's limits on callers that change while connections are open."""

import asyncio

import pytest

from platform_site import PlatformSite
from rhubarbspan.standins.platform_deployment import (
    configuration_document,
    read_reply,
    request_bytes,
)

LIMITS = {"headerBytes": 700, "bodyBytes": 2000, "headerTimeoutS": 5.0}
IDLE_S = {"idleTimeoutS": 30.0}


async def change_limits(site: PlatformSite, version: int, **limits: float) -> None:
    """Publish a configuration with other limits and wait until it is in force."""
    document = configuration_document(version, limits={**LIMITS, **IDLE_S, **limits})
    site.store.put("op/config", document)
    async with asyncio.timeout(5.0):
        while site.instances[0].world.configuration.revision < version:
            await asyncio.sleep(0.01)


# DENIED: the limits of when the connection became idle held for its next request.
@pytest.mark.parametrize(
    ("limits", "request_data"),
    [
        ({"bodyBytes": 9000}, request_bytes("/put/x", "POST", b"x" * 8000)),
        ({"headerBytes": 4000}, request_bytes("/look/x", X_Padding="p" * 2000)),
    ],
)
def test_raised_limit_holds_for_the_next_request_on_an_open_connection(
    deployed: PlatformSite, limits: dict[str, float], request_data: bytes
) -> None:
    async def work() -> list[int]:
        statuses = []
        await change_limits(deployed, 2)
        kept = await deployed.connect()
        refused = await deployed.connect()
        for reader, writer in (kept, refused):
            writer.write(request_bytes("/look/first"))
            statuses.append((await read_reply(reader)).status)
        refused[1].write(request_data)
        statuses.append((await read_reply(refused[0])).status)
        await change_limits(deployed, 3, **limits)
        kept[1].write(request_data)
        statuses.append((await read_reply(kept[0])).status)
        await change_limits(deployed, 4)
        kept[1].write(request_data)
        statuses.append((await read_reply(kept[0])).status)
        for _, writer in (kept, refused):
            writer.close()
        return statuses

    first, second, before, raised, lowered = deployed.run(work())
    assert (first, second, raised) == (200, 200, 200)
    assert before == lowered in (413, 431)


def test_raised_idle_timeout_holds_for_a_connection_that_is_idle(
    deployed: PlatformSite,
) -> None:
    async def work() -> int:
        await change_limits(deployed, 2, idleTimeoutS=1.0)
        reader, writer = await deployed.connect()
        writer.write(request_bytes("/look/first"))
        assert (await read_reply(reader)).status == 200
        await change_limits(deployed, 3, idleTimeoutS=30.0)
        await asyncio.sleep(3.0)
        writer.write(request_bytes("/look/second"))
        status = (await read_reply(reader)).status
        writer.close()
        return status

    assert deployed.run(work()) == 200
