"""Tests of callers that are still reading a response when the instance stops."""

import asyncio
import contextlib
import socket
from asyncio.trsock import TransportSocket
from collections.abc import Iterable

from edge_site import KEY, site_document
from platform_site import PlatformSite, close_loop
from rhubarbspan.edge.daemon import Daemon
from rhubarbspan.edge.instance import Instance
from rhubarbspan.policies import Policies
from rhubarbspan.standins.deployment import Deployment
from rhubarbspan.standins.platform_deployment import GRACE_S, request_bytes

BUFFER_BYTES = 4096
# Less than what an instance holds in memory of a response.
RESPONSE_BYTES = 60_000
SLICE_BYTES = 2000
SLICE_S = 0.04
SERVE_LEAVING_S = 0.9


def connect_slowly(
    address: str, sockets: Iterable[socket.socket | TransportSocket]
) -> socket.socket:
    """Connect a caller to a server over a link that holds few bytes."""
    for listening in sockets:
        # Connections that are accepted take the option over.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    host, _, port = address.rpartition(":")
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    caller.connect((host, int(port)))
    caller.setblocking(False)
    return caller


async def read_slowly(caller: socket.socket, received: bytearray) -> None:
    """Read a response at the pace of a slow link, until its end."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(ConnectionError):
        while data := await loop.sock_recv(caller, SLICE_BYTES):
            received += data
            await asyncio.sleep(SLICE_S)


async def stop_beside_slow_caller(
    instance: Daemon | Instance, caller: socket.socket, request: bytes
) -> bytearray:
    """Stop an instance and return what the caller of one request has read by its end.

    The request comes after the stop, and is read for longer than the instance serves.
    """
    received = bytearray()
    instance.request_stop()
    await asyncio.sleep(0.1)
    await asyncio.get_running_loop().sock_sendall(caller, request)
    reading = asyncio.create_task(read_slowly(caller, received))
    await asyncio.wait_for(instance.run(), GRACE_S)
    reading.cancel()
    return received


def read_the_rest(caller: socket.socket, received: bytearray) -> bytes:
    """Read what the operating system has, without the loop, and return the body."""
    caller.settimeout(1.0)
    with contextlib.suppress(TimeoutError, ConnectionError):
        while data := caller.recv(BUFFER_BYTES):
            received += data
    caller.close()
    head, _, body = bytes(received).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    return body


# LOST: the process ended with up to 64 KB of a response that it had not yet sent.
def test_response_is_sent_whole_to_a_slow_caller_before_the_exit(
    deployed: PlatformSite,
) -> None:
    site = deployed
    instance = site.instances.pop()
    for server in site.servers:
        server.response_bytes = RESPONSE_BYTES
    listening = instance._front._listener
    assert listening is not None
    caller = connect_slowly(instance.settings.listen, [listening.socket])
    request = request_bytes("/look/x", X_Deadline_Milliseconds="1000")
    received = site.run(stop_beside_slow_caller(instance, caller, request))
    assert len(read_the_rest(caller, received)) >= RESPONSE_BYTES


def test_response_is_sent_whole_to_a_slow_caller_before_the_exit_of_an_entry() -> None:
    loop = asyncio.new_event_loop()
    deployment = Deployment(site_document())
    loop.run_until_complete(deployment.start(seats=[]))
    policies = Policies(serve_leaving_s=SERVE_LEAVING_S)
    daemon = loop.run_until_complete(deployment.add_daemon("x-1", policies))
    assert isinstance(daemon, Daemon)
    try:
        assert loop.run_until_complete(deployment.wait_ready())
        listening = daemon._server._acceptor._listener
        assert listening is not None
        caller = connect_slowly(daemon.settings.listen, [listening.socket])
        head = f"GET /look/x?size={RESPONSE_BYTES} HTTP/1.1\r\nHost: x\r\n"
        request = f"{head}Authorization: Bearer {KEY}\r\n\r\n".encode()
        del deployment.daemons["x-1"]
        work = stop_beside_slow_caller(daemon, caller, request)
        received = loop.run_until_complete(work)
        assert len(read_the_rest(caller, received)) >= RESPONSE_BYTES
    finally:
        loop.run_until_complete(deployment.stop())
        close_loop(loop)
