"""Issues and checks tickets.

A ticket is an idempotency key under which a request runs at most once without a claim
in the store. It names the seat and the incarnation that issued it. Only that
incarnation runs a request under it, once, and keeps the record of its use in memory;
an instance that replaces it never does.
"""

import hashlib
from dataclasses import dataclass
from enum import Enum

from ..world import World

PREFIX = "rt1"
SEPARATOR = "."
N_FIELDS = 5
MAC_BYTES = 8
N_TICKETS_KEPT = 50_000


class TicketUse(Enum):
    """What an idempotency key allows on this instance.

    Attributes:
        NOT_A_TICKET: The key is not a ticket; the request needs a claim.
        RUN: The ticket is unused, so the request may run.
        USED: A request was started under the ticket.
        OTHER_INSTANCE: Only another instance, which is alive, may use the ticket.
        GONE: The issuer has been replaced or is not alive, or no longer tracks the
            ticket.
        FORGED: The ticket names this incarnation, which didn't issue it.
    """

    NOT_A_TICKET = "not-a-ticket"
    RUN = "run"
    USED = "used"
    OTHER_INSTANCE = "other-instance"
    GONE = "gone"
    FORGED = "forged"


@dataclass(frozen=True, slots=True)
class Ticket:
    """A decoded ticket.

    Attributes:
        mac: Message authentication code (MAC) of seat, incarnation and number.
    """

    seat: str
    incarnation: int
    number: int
    mac: str


def issue_tickets(world: World, n_tickets: int) -> list[str]:
    """Return new tickets, or none if this instance is leaving."""
    if world.departure is not None:
        return []
    tickets = []
    for _ in range(n_tickets):
        world.tickets.n_issued += 1
        tickets.append(_encode(world, world.tickets.n_issued))
    _forget_old_tickets(world)
    world.count("tickets_issued", "", n_tickets)
    return tickets


def check_ticket(world: World, idempotency_key: str) -> TicketUse:
    """Return what an idempotency key allows on this instance."""
    ticket = _decode(idempotency_key)
    if ticket is None:
        return TicketUse.NOT_A_TICKET
    own = world.identity
    if (ticket.seat, ticket.incarnation) != (own.seat, own.incarnation):
        return _check_foreign_ticket(world, ticket)
    is_issued = 0 < ticket.number <= world.tickets.n_issued
    if not is_issued or ticket.mac != _mac(world, ticket.number):
        return TicketUse.FORGED
    if ticket.number < world.tickets.forgotten_below:
        return TicketUse.GONE
    return TicketUse.USED if ticket.number in world.tickets.used else TicketUse.RUN


def use_ticket(world: World, idempotency_key: str) -> None:
    """Mark a ticket as used; a key that is no ticket is ignored."""
    ticket = _decode(idempotency_key)
    if ticket is not None:
        world.tickets.used[ticket.number] = None


def release_ticket(world: World, idempotency_key: str) -> None:
    """Mark a ticket of this seat as unused: the request certainly did not run."""
    ticket = _decode(idempotency_key)
    if ticket is not None and ticket.seat == world.identity.seat:
        world.tickets.used.pop(ticket.number, None)


def _check_foreign_ticket(world: World, ticket: Ticket) -> TicketUse:
    peer = world.peers.get(ticket.seat)
    is_known_alive = peer is not None and peer.is_alive
    if is_known_alive and peer is not None and peer.incarnation == ticket.incarnation:
        return TicketUse.OTHER_INSTANCE
    return TicketUse.GONE


def _forget_old_tickets(world: World) -> None:
    tickets = world.tickets
    limit = tickets.n_issued - N_TICKETS_KEPT
    while tickets.forgotten_below <= limit:
        tickets.used.pop(tickets.forgotten_below, None)
        tickets.forgotten_below += 1


def _encode(world: World, number: int) -> str:
    own = world.identity
    fields = (PREFIX, own.seat, str(own.incarnation), str(number), _mac(world, number))
    return SEPARATOR.join(fields)


def _decode(text: str) -> Ticket | None:
    fields = text.split(SEPARATOR)
    if len(fields) != N_FIELDS or fields[0] != PREFIX:
        return None
    _, seat, incarnation, number, mac = fields
    if not (incarnation.isdigit() and number.isdigit()):
        return None
    return Ticket(seat, int(incarnation), int(number), mac)


def _mac(world: World, number: int) -> str:
    text = f"{world.identity.seat}/{world.identity.incarnation}/{number}"
    digest = hashlib.blake2b(
        text.encode(), key=world.tickets.secret, digest_size=MAC_BYTES
    )
    return digest.hexdigest()
