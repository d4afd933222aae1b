"""Tests of connections that callers open just before an instance stops listening."""

import asyncio
import socket

import pytest

from edge_site import KEY as OWN_KEY
from edge_site import site_document
from platform_site import PlatformSite, close_loop
from rhubarbspan.edge.daemon import Daemon
from rhubarbspan.edge.instance import Instance
from rhubarbspan.policies import Policies
from rhubarbspan.standins.deployment import Deployment
from rhubarbspan.standins.platform_deployment import Reply, request_bytes

N_CONNECTIONS = 5
OWN_HEAD = f"POST /put/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {OWN_KEY}\r\n"
OWN_REQUEST = f"{OWN_HEAD}Content-Length: 1\r\n\r\nb".encode()


async def send_and_close(
    instance: Instance | Daemon, address: str, data: bytes
) -> list[Reply | None]:
    """Stop an instance; send requests on new connections just before it closes.

    The operating system accepts them; the event loop does not run in between.
    """
    instance.request_stop()
    await instance.stopped.wait()
    host, _, port = address.rpartition(":")
    sockets = [
        socket.create_connection((host, int(port))) for _ in range(N_CONNECTIONS)
    ]
    for opened in sockets:
        opened.sendall(data)
    closing = asyncio.create_task(instance.close())
    replies = [await read_reply_of(opened) for opened in sockets]
    await closing
    return replies


async def read_reply_of(opened: socket.socket) -> Reply | None:
    """Return the response, or None if the connection ends without one."""
    reader, writer = await asyncio.open_connection(sock=opened)
    try:
        async with asyncio.timeout(5.0):
            head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    finally:
        writer.close()
    return Reply(int(head.split()[1]), {}, b"")


# Orders that arrived with the end of a stop were reset, so that their callers could not
# know whether they had run.
def test_request_on_a_connection_that_was_not_yet_accepted_is_refused(
    deployed: PlatformSite,
) -> None:
    (instance,) = deployed.instances
    data = request_bytes("/order/x", "POST", b"b")
    replies = deployed.run(send_and_close(instance, instance.settings.listen, data))
    deployed.instances.clear()
    assert [reply.status if reply else None for reply in replies] == [503] * 5
    assert sum(len(server.requests) for server in deployed.servers) == 0


@pytest.fixture
def own_deployment() -> Deployment:
    """Return a deployment of the own interface that is not started."""
    return Deployment(site_document())


def test_request_on_a_connection_that_an_entry_had_not_yet_accepted_is_refused(
    own_deployment: Deployment,
) -> None:
    loop = asyncio.new_event_loop()

    async def work() -> list[Reply | None]:
        await own_deployment.start(seats=[])
        policies = Policies(serve_leaving_s=0.5)
        daemon = await own_deployment.add_daemon("x-1", policies)
        assert isinstance(daemon, Daemon)
        try:
            assert await own_deployment.wait_ready()
            del own_deployment.daemons["x-1"]
            return await send_and_close(daemon, daemon.settings.listen, OWN_REQUEST)
        finally:
            await own_deployment.stop()

    replies = loop.run_until_complete(work())
    close_loop(loop)
    assert [reply.status if reply else None for reply in replies] == [503] * 5
