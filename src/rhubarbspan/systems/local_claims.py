"""What an instance remembers of the claims that it made."""

import hashlib

from ..configuration import RouteKind
from ..tables.claims import ClaimState
from ..tables.requests import RequestRow, RequestState
from ..world import World
from .ticketing import TicketUse, check_ticket, release_ticket


def claim_key(row: RequestRow) -> str:
    """Derive a claim's key from account, route and idempotency key."""
    text = "\n".join([row.account, row.route.name, row.arrived.idempotency_key])
    return hashlib.sha256(text.encode()).hexdigest()


def mark_claim_used(world: World, row: RequestRow) -> None:
    """Note that a request under a claim is about to be sent."""
    claim = world.claims.rows.get(claim_key(row)) if row.has_claim else None
    if claim is not None:
        claim.state = ClaimState.USED


def release_claim(world: World, row: RequestRow) -> None:
    """Let a resend to this instance use the claim of a request that did not run."""
    if row.route.kind is not RouteKind.AT_MOST_ONCE:
        return
    if row.state in (RequestState.ADMITTING, RequestState.ADMITTED):
        return
    if check_ticket(world, row.arrived.idempotency_key) is TicketUse.USED:
        release_ticket(world, row.arrived.idempotency_key)
        return
    claim = world.claims.rows.get(claim_key(row))
    if claim is None:
        return
    if row.has_claim or claim.state is ClaimState.PENDING:
        claim.state = ClaimState.RELEASED
