"""Updates this instance's own record of its claims on idempotency keys."""

import hashlib

from ..configuration import RouteKind
from ..tables.claims import ClaimState
from ..tables.requests import RequestRow, RequestState
from ..world import World
from .ticketing import TicketUse, check_ticket, release_ticket


def claim_key(row: RequestRow) -> str:
    """Return a claim's key: a hash of account, route and idempotency key."""
    text = "\n".join([row.account, row.route.name, row.arrived.idempotency_key])
    return hashlib.sha256(text.encode()).hexdigest()


def mark_claim_used(world: World, row: RequestRow) -> None:
    """Mark a request's claim as used, before the request is sent to a server."""
    claim = world.claims.rows.get(claim_key(row)) if row.has_claim else None
    if claim is not None:
        claim.state = ClaimState.USED


def release_claim(world: World, row: RequestRow) -> None:
    """Release the claim or ticket of a request that did not run.

    A resend to this instance may then use it.
    """
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
