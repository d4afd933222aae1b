"""Tracks the other instances and sends heartbeats to them."""

from dataclasses import replace

from ..effects import ClosePeerLink, Effects, LogChange, LogLevel, SendPeerMessage
from ..inputs import Inbox, PeerMessageReceived, PeersListed, Timer
from ..peer_messages import AccountDemand, Heartbeat, PoolLoad, SuspectNotice
from ..policies import (
    LeastInFlight,
    ObjectPlacement,
    OwnedSlots,
    RandomChoice,
    TwoChoices,
)
from ..tables.peers import PeerRow
from ..world import World
from .announcements import describe_leaving
from .bucketing import holds_delegated_shares
from .config_age import config_age_s
from .confirmations import (
    FIRST_CONFIRMATION_S,
    advertise_demands,
    presence_digest,
    present_peers,
)
from .fleet_layout import (
    N_HEARTBEATS_PER_SUMMARY,
    choose_layout,
    counterpart_relays,
    is_two_level,
    local_peers,
    sends_summaries,
)
from .load_counts import apply_peer_counts, count_own
from .load_reports import apply_loads, take_loads
from .object_sharing import apply_responses, apply_uses, take_responses, take_uses
from .relaying import (
    apply_lapsed,
    apply_told_ways,
    echoes_to_pass_on,
    lapsed_seats,
    missed_seats,
)
from .slots import n_free_slots, n_usable_slots, owned_servers
from .store_eras import is_restored_lately
from .suspect_sharing import first_sequence_to_tell, suspects_since

# Send times of this many recent heartbeats are kept, to compute the age of the
# heartbeat that a peer echoes.
N_HEARTBEATS_KEPT = 64
MAX_CONFIG_AGE_S = 1e6
# Summaries of a data centre that may be late or lost before its instances count as
# silent.
N_SUMMARIES_MISSED = 2
MIN_DEMAND_PER_S = 0.01
# An instance that is neither listed nor heard for this long is gone. It is much longer
# than its demand counts on, and than leases and outages of links usually last.
PEER_RETENTION_S = 60.0
# Suspects by the heartbeat since which they changed, and whether the receiver is local.
Notices = dict[tuple[int, bool], list[SuspectNotice]]
# Key of the regular heartbeats; other keys are for unscheduled ones.
PERIODIC = ""


def track_peers(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Update the table of peers, and send heartbeats when they are due."""
    effects: Effects = []
    for listed in inbox.of(PeersListed):
        _update_listing(world, now_s, listed)
    for received in inbox.of(PeerMessageReceived):
        match received.message:
            case Heartbeat() as heartbeat:
                effects += _handle_heartbeat(world, now_s, heartbeat)
    keys = inbox.due(Timer.HEARTBEAT)
    if keys:
        choose_layout(world)
        effects += _mark_silent_peers(world, now_s)
        effects += _forget_gone_peers(world, now_s)
        effects += _send_heartbeats(world, now_s)
    if PERIODIC in keys:
        world.deadlines.arm(
            now_s + world.policies.heartbeat_interval_s, Timer.HEARTBEAT, PERIODIC
        )
    return effects


def heartbeat_receivers(world: World) -> list[PeerRow]:
    """List the peers that this instance sends heartbeats to.

    In a fleet of two levels they are those of the own data centre.
    """
    rows = local_peers(world) if is_two_level(world) else world.peers.rows()
    return [row for row in rows if row.peer_address]


def _update_listing(world: World, now_s: float, listing: PeersListed) -> None:
    own_seat = world.identity.seat
    listed = {peer.seat: peer for peer in listing.peers if peer.seat != own_seat}
    # Seeds from the settings may be incomplete: only the platform's list shows which
    # seats are in use.
    if not listing.is_seed:
        world.has_peer_list = True
        # After a restore of the store, instances write again the records that it lost.
        rows = [] if is_restored_lately(world, now_s) else world.peers.rows()
        for row in rows:
            if row.is_listed and row.seat not in listed:
                row.unlisted_s = now_s
            row.is_listed = row.seat in listed
    for peer in listed.values():
        row = _get_or_create_row(world, now_s, peer.seat, peer.data_centre)
        row.is_listed = not listing.is_seed
        row.is_listed_leaving = peer.is_leaving
        row.peer_address = peer.peer_address
        row.address = peer.address


def _get_or_create_row(
    world: World, now_s: float, seat: str, data_centre: str
) -> PeerRow:
    row = world.peers.get(seat)
    if row is None:
        region = world.configuration.region_of(data_centre)
        row = PeerRow(seat, data_centre, region, unlisted_s=now_s)
        world.peers.add(row)
    if not row.region:
        row.region = world.configuration.region_of(row.data_centre)
    return row


def _handle_heartbeat(world: World, now_s: float, heartbeat: Heartbeat) -> Effects:
    if heartbeat.seat == world.identity.seat:
        world.count("heartbeats_with_own_seat")
        return []
    data_centre = heartbeat.data_centre or heartbeat.seat.rpartition("-")[0]
    row = _get_or_create_row(world, now_s, heartbeat.seat, data_centre)
    if is_outdated(row, heartbeat.incarnation):
        return []
    is_new_incarnation = heartbeat.incarnation != row.incarnation
    if not is_new_incarnation and heartbeat.sequence <= row.sequence:
        return []
    if is_new_incarnation:
        row.started_s = now_s - heartbeat.uptime_s
        row.acknowledged_sequence = 0
        row.relayed_sequence = 0
    is_starting = (
        heartbeat.echoed_incarnation == 0 and heartbeat.uptime_s < FIRST_CONFIRMATION_S
    )
    if is_new_incarnation or is_starting:
        # It has not heard any earlier figures.
        row.confirmed_s = now_s
    if heartbeat.echoed_incarnation == world.identity.incarnation:
        row.acknowledged_sequence = heartbeat.echoed_sequence
        sent_s = world.heartbeats_sent_s.get(heartbeat.echoed_sequence)
        if sent_s is not None:
            row.confirmed_s = max(row.confirmed_s, sent_s)
    is_local = row.data_centre == world.identity.data_centre
    row.incarnation = heartbeat.incarnation
    row.sequence = heartbeat.sequence
    row.last_heard_s = now_s
    row.is_summarised = False
    row.is_two_level = heartbeat.is_two_level
    row.knows_servers = heartbeat.knows_servers
    row.presence_digest = heartbeat.presence_digest
    row.revision = heartbeat.revision
    row.is_leaving = heartbeat.is_leaving
    row.address = heartbeat.address or row.address
    row.peer_address = heartbeat.peer_address or row.peer_address
    row.loads = {load.pool: load for load in heartbeat.loads}
    apply_told_ways(world, row, heartbeat)
    apply_lapsed(world, now_s, heartbeat)
    is_newest = heartbeat.sequence >= row.relayed_sequence
    if is_newest and (is_local or not heartbeat.is_two_level):
        # Relays leave the demand out of the heartbeats that they exchange.
        world.peers.set_demands(row, now_s, heartbeat.demands)
    apply_uses(world, now_s, heartbeat.handled, is_local)
    apply_responses(world, heartbeat.responses, is_local)
    apply_loads(world, now_s, heartbeat.server_loads)
    apply_peer_counts(row, heartbeat.in_flight)
    if row.is_alive:
        return []
    row.is_alive = True
    return [LogChange(LogLevel.INFO, f"instance {row.seat} is alive")]


def is_outdated(row: PeerRow, incarnation: int) -> bool:
    """Return whether a message is from an earlier incarnation than the one in use.

    Incarnations are times of day, which may step back before a process starts again:
    once the later incarnation is silent, an earlier one takes its place.
    """
    return incarnation < row.incarnation and row.is_alive


def _mark_silent_peers(world: World, now_s: float) -> Effects:
    effects: Effects = []
    own_data_centre = world.identity.data_centre
    # Of instances in other data centres, relays tell in their summaries.
    interval_s = world.policies.heartbeat_interval_s
    delay_s = N_SUMMARIES_MISSED * N_HEARTBEATS_PER_SUMMARY * interval_s
    for row in world.peers.alive():
        is_local = row.data_centre == own_data_centre
        dead_after_s = world.policies.dead_after_s
        if not is_local and (row.is_summarised or is_two_level(world)):
            dead_after_s += delay_s
        if now_s - row.last_heard_s > dead_after_s:
            row.is_alive = False
            level = LogLevel.INFO if row.is_leaving else LogLevel.WARNING
            state = "has left" if row.is_leaving else "is silent"
            effects.append(LogChange(level, f"instance {row.seat} {state}"))
    return effects


def _forget_gone_peers(world: World, now_s: float) -> Effects:
    """Remove the instances that have been neither listed nor heard for long.

    Those that could not reach the store or this instance are listed or heard again
    once they do. Without a list from the platform, none is known to be gone.
    """
    if not world.has_peer_list:
        return []
    effects: Effects = []
    for row in world.peers.rows():
        known_s = max(row.evidence_s(), row.unlisted_s)
        if row.is_listed or row.is_alive or now_s - known_s <= PEER_RETENTION_S:
            continue
        world.peers.remove(row.seat)
        effects.append(ClosePeerLink(row.seat))
        text = f"instance {row.seat} is forgotten"
        effects.append(LogChange(LogLevel.INFO, text))
    return effects


def _send_heartbeats(world: World, now_s: float) -> Effects:
    world.heartbeat_sequence += 1
    advertise_demands(world, now_s)
    own = world.identity
    missed = missed_seats(world)
    read_s = world.configuration_state.read_s
    heartbeat = Heartbeat(
        seat=own.seat,
        incarnation=own.incarnation,
        sequence=world.heartbeat_sequence,
        revision=world.configuration.revision,
        is_leaving=world.departure is not None,
        config_age_s=min(config_age_s(world, now_s), MAX_CONFIG_AGE_S),
        loads=_describe_loads(world, now_s),
        demands=_describe_demands(world),
        data_centre=own.data_centre,
        address=own.address,
        peer_address=own.peer_address,
        uptime_s=now_s - world.started_s,
        refusing_servers_s={
            row.server_id: round(row.refused_until_s - now_s, 2)
            for row in world.servers.rows()
            if row.refused_until_s > now_s
        },
        handled=take_uses(world.objects.unsent),
        responses=take_responses(world.objects.unsent_responses),
        is_two_level=is_two_level(world),
        knows_servers=bool(world.servers.rows()) or not world.configuration.pools,
        leaving_servers=describe_leaving(world, now_s),
        presence_digest=presence_digest(world, present_peers(world, now_s)),
        server_loads=take_loads(world, now_s),
        in_flight=count_own(world),
        missed=missed,
        lapsed=lapsed_seats(world),
        echoes=echoes_to_pass_on(world, missed),
        read_age_s=min(now_s - read_s, MAX_CONFIG_AGE_S),
    )
    world.heartbeats_sent_s[world.heartbeat_sequence] = now_s
    world.heartbeats_sent_s.pop(world.heartbeat_sequence - N_HEARTBEATS_KEPT, None)
    suspects: Notices = {}
    effects: Effects = [
        SendPeerMessage(row.seat, _address(world, heartbeat, row, suspects, now_s))
        for row in heartbeat_receivers(world)
    ]
    is_summary_due = world.heartbeat_sequence % N_HEARTBEATS_PER_SUMMARY == 0
    if is_summary_due and is_two_level(world) and sends_summaries(world):
        # Relays confirm the configuration to each other, and pass on suspects. Their
        # summaries tell the rest.
        brief = replace(
            heartbeat,
            loads=[],
            demands=[],
            handled={},
            responses={},
            server_loads={},
            in_flight=None,
        )
        effects += [
            SendPeerMessage(row.seat, _address(world, brief, row, suspects, now_s))
            for row in counterpart_relays(world)
        ]
    return effects


def _address(
    world: World,
    heartbeat: Heartbeat,
    row: PeerRow,
    suspects: Notices,
    now_s: float,
) -> Heartbeat:
    """Add the suspects that are news to a receiver, and the echo of its heartbeat.

    Args:
        world: The tables.
        heartbeat: What all receivers are told.
        row: The receiver.
        suspects: What was described already, by the heartbeat since which it changed,
            and whether the receiver is of the own data centre.
        now_s: The present time.
    """
    is_local = row.data_centre == world.identity.data_centre
    key = first_sequence_to_tell(world, row), is_local
    if key not in suspects:
        suspects[key] = suspects_since(world, *key)
    if row.incarnation == 0:
        return replace(heartbeat, suspects=suspects[key])
    return replace(
        heartbeat,
        suspects=suspects[key],
        echoed_incarnation=row.incarnation,
        echoed_sequence=row.sequence,
        echo_age_s=now_s - row.last_heard_s,
    )


def _describe_loads(world: World, now_s: float) -> list[PoolLoad]:
    """Describe the load of the own servers, if instances own servers."""
    match world.policies.choice:
        case ObjectPlacement():
            return []
        case OwnedSlots() | RandomChoice() | TwoChoices() | LeastInFlight():
            pass
    loads = []
    for pool in world.configuration.pools.values():
        servers = owned_servers(world, pool.name)
        n_slots = sum(n_usable_slots(row, pool, now_s) for row in servers)
        n_free = sum(n_free_slots(row, pool, now_s) for row in servers)
        n_foreign = round(sum(row.n_foreign for row in servers))
        queue = world.queues.queue_of(pool.name)
        loads.append(
            PoolLoad(
                pool.name,
                max(0, n_slots - n_free),
                n_foreign,
                n_slots,
                queue.n_queued,
                queue.arrivals_per_s,
            )
        )
    return loads


def _describe_demands(world: World) -> list[AccountDemand]:
    return [
        AccountDemand(
            row.account,
            round(row.advertised_demand_per_s, 3),
            holds_delegated_shares(row),
        )
        for row in world.buckets.rows()
        if row.advertised_demand_per_s > MIN_DEMAND_PER_S or holds_delegated_shares(row)
    ]
