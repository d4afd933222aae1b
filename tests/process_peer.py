"""An instance of a fleet of processes whose messages have no end."""

import asyncio
import json
from dataclasses import dataclass

import grpc
import grpc.aio

from process_fleet import InstanceProcess
from rhubarbspan.edge.peers import METHOD, SERVICE
from rhubarbspan.peer_messages import Heartbeat
from rhubarbspan.wire.peer import MAX_MESSAGE_BYTES, encode_frame, encode_message

ODD_MESSAGE = b"\xff"
HEARTBEAT = Heartbeat("y-1", 5, 1, 1, False, data_centre="b-1")
N_HEARTBEATS = 1000
RECONNECT_S = 0.2


@dataclass(frozen=True, slots=True)
class PeerFrame:
    """A frame that an instance sends over and over."""

    data: bytes


FRAMES = {
    "peer, tiny messages": PeerFrame(
        encode_frame([ODD_MESSAGE] * (MAX_MESSAGE_BYTES // 4))
    ),
    "peer, heartbeats": PeerFrame(
        encode_frame([encode_message(HEARTBEAT)] * N_HEARTBEATS)
    ),
    "peer, no frame": PeerFrame(b"\xc1" * (MAX_MESSAGE_BYTES // 2)),
}


def peer_address(instance: InstanceProcess) -> str:
    """Return the address at which an instance listens for others."""
    settings = json.loads(instance.file.read_text())
    return f"127.0.0.1:{settings['internalPortRange'][0]}"


async def send_frames(address: str, frame: bytes) -> None:
    """Send a frame over and over, on a new stream when one has ended."""
    while True:
        async with grpc.aio.insecure_channel(address) as channel:
            call = channel.stream_unary(f"/{SERVICE}/{METHOD}")()
            try:
                while True:
                    await call.write(frame)
            except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
                await asyncio.sleep(RECONNECT_S)
