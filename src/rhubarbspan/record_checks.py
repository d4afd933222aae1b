"""Checks of names, addresses and numbers in records that other programs wrote.

A record may come from any writer. What no server or instance would report makes the
record unusable, so that systems can compute with what is left.
"""

import ipaddress
import math
from dataclasses import replace
from functools import lru_cache

from .inputs import PeerListing, ServerListing
from .peer_messages import Heartbeat, KnownServer, PeerMessage, ServerHandover

MAX_PORT = 65535
# An IPv6 address in brackets and a port need 47 characters.
MAX_ADDRESS_LENGTH = 47
MAX_ID_LENGTH = 200
MAX_SLOTS = 10_000
# The platform has no bound on how long a service may be cold; a record with a longer
# time than this is no server's.
MAX_COLD_S = 1e9
# Machines are not slowed or sped up by more than this while other work shares them.
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 100.0
# Largest integer that each encoding of messages and logs can represent.
MAX_INTEGER = 2**63 - 1
N_MAX_KNOWN_ADDRESSES = 4096


def is_ip_and_port(text: str) -> bool:
    """Return whether a text is an IP address and a port.

    Names are not accepted, since using one would need a name look-up.

    Example:
        >>> is_ip_and_port("127.0.0.1:80"), is_ip_and_port("[::1]:80")
        (True, True)
        >>> is_ip_and_port("localhost:80"), is_ip_and_port("127.0.0.1:70000")
        (False, False)
    """
    return len(text) <= MAX_ADDRESS_LENGTH and _is_ip_and_port(text)


# Peers tell their addresses in each heartbeat.
@lru_cache(N_MAX_KNOWN_ADDRESSES)
def _is_ip_and_port(text: str) -> bool:
    host, _, port = text.rpartition(":")
    if not text.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        return False
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return False
    # A scope identifier may contain any text.
    return "%" not in host and (ip.version == 6 or not is_bracketed)


def is_identifier(text: str) -> bool:
    """Return whether a text can be a key's last part and the value of a header.

    Example:
        >>> is_identifier("i-7f3a91c2"), is_identifier("a/b"), is_identifier("")
        (True, False, False)
    """
    return (
        0 < len(text) <= MAX_ID_LENGTH
        and text.isascii()
        and text.isprintable()
        and " " not in text
        and "/" not in text
    )


def find_server_problem(server: ServerListing) -> str:
    """Return why a listed server cannot be used, or an empty string."""
    if not is_identifier(server.server_id):
        return "the identifier is empty, too long or has unsuitable characters"
    if not is_ip_and_port(server.address):
        return "the address is not an IP address and a port"
    if not server.pool:
        return "the service is empty"
    if not 0 <= server.n_slots <= MAX_SLOTS:
        return f"the number of slots is not from 0 to {MAX_SLOTS}"
    if not math.isfinite(server.cold_s) or server.cold_s > MAX_COLD_S:
        return f"the remaining cold time is more than {MAX_COLD_S:.0f} s"
    if not 0 <= server.incarnation <= MAX_INTEGER:
        return f"the start time is not from 0 to {MAX_INTEGER}"
    if not 0 <= server.sequence <= MAX_INTEGER:
        return f"the sequence number is not from 0 to {MAX_INTEGER}"
    return ""


def find_peer_problem(peer: PeerListing) -> str:
    """Return why a listed instance cannot be used, or an empty string."""
    if not is_identifier(peer.seat):
        return "the name is empty, too long or has unsuitable characters"
    if not is_ip_and_port(peer.peer_address) or not is_ip_and_port(peer.address):
        return "an address is not an IP address and a port"
    return ""


def to_listing(server: KnownServer) -> ServerListing:
    """Return what a peer knows of a server as if it were listed."""
    return ServerListing(
        server.server_id,
        server.pool,
        server.address,
        server.data_centre,
        False,
        server.n_slots,
        server.incarnation,
        server.cold_s,
        server.sequence,
    )


def without_unusable(message: PeerMessage) -> PeerMessage:
    """Return a peer's message without the servers and addresses that cannot be used."""
    match message:
        case ServerHandover(servers=rows):
            usable = [row for row in rows if not find_server_problem(to_listing(row))]
            return replace(message, servers=usable)
        case Heartbeat(address=address, peer_address=peer_address):
            if is_ip_and_port(address) and is_ip_and_port(peer_address):
                return message
            return replace(
                message,
                address=address if is_ip_and_port(address) else "",
                peer_address=peer_address if is_ip_and_port(peer_address) else "",
            )
        case _:
            return message
