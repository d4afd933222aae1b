"""Exchanges summaries of data centres between relays, and passes them on to peers.

A summary tells which instances of a data centre are alive and what its accounts
demand. Demands that have hardly changed are left out, except now and then.
"""

from dataclasses import replace

from ..effects import Effects, LogChange, LogLevel, SendPeerMessage
from ..inputs import Inbox, PeerMessageReceived, Timer
from ..peer_messages import DataCentreSummary, MemberState
from ..tables.peers import PeerRow
from ..world import World
from .confirmations import confirm_summary, may_refill, unheard_data_centres
from .fleet_layout import (
    N_HEARTBEATS_PER_SUMMARY,
    counterpart_relays,
    local_peers,
    local_rank,
    sends_summaries,
)
from .load_counts import apply_summary_counts, count_data_centre
from .membership import is_outdated
from .object_sharing import apply_responses, apply_uses, take_responses, take_uses
from .relaying import missed_data_centres, relay_summary

# Summaries between two complete ones.
N_SUMMARIES_PER_COMPLETE_ONE = 5
# Time for which the summaries that another relay passes on suffice: two of them.
PASSED_ON_S = 2.1
# A demand is sent again once it has changed by this fraction and this rate.
CHANGED_FRACTION = 0.15
CHANGED_RATE_PER_S = 0.05


def exchange_summaries(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Apply and pass on summaries of other data centres, and send that of the own."""
    effects: Effects = []
    for received in inbox.of(PeerMessageReceived):
        match received.message:
            case DataCentreSummary() as summary:
                effects += _handle_summary(world, now_s, summary)
    is_due = world.heartbeat_sequence % N_HEARTBEATS_PER_SUMMARY == 0
    if inbox.due(Timer.HEARTBEAT) and is_due:
        effects += _send_summary(world, now_s)
    return effects


def _send_summary(world: World, now_s: float) -> Effects:
    handled = take_uses(world.objects.unsent_local)
    responses = take_responses(world.objects.unsent_local_responses)
    if not sends_summaries(world):
        return []
    number = world.heartbeat_sequence // N_HEARTBEATS_PER_SUMMARY
    is_complete = number % N_SUMMARIES_PER_COMPLETE_ONE == 0
    own = world.identity
    demands = local_demands(world, now_s)
    sent = world.data_centres.sent_demands
    changed = {
        account: demand
        for account, demand in demands.items()
        if is_complete or _has_changed(sent.get(account, 0.0), demand)
    }
    if is_complete:
        sent.clear()
    else:
        changed.update({account: 0.0 for account in sent if account not in demands})
    sent.update(changed)
    summary = DataCentreSummary(
        own.seat,
        own.incarnation,
        own.data_centre,
        [
            _describe_member(world, now_s, row)
            for row in local_peers(world)
            if row.is_alive
        ],
        changed,
        is_complete,
        uptime_s=round(now_s - world.started_s, 1),
        revision=world.configuration.revision,
        # The second relay would only tell them again.
        handled=handled if local_rank(world) == 0 else {},
        responses=responses if local_rank(world) == 0 else {},
        unheard=unheard_data_centres(world, now_s),
        in_flight=count_data_centre(world),
        missed=missed_data_centres(world, now_s),
    )
    return [SendPeerMessage(row.seat, summary) for row in counterpart_relays(world)]


def _has_changed(sent_per_s: float, demand_per_s: float) -> bool:
    difference = abs(sent_per_s - demand_per_s)
    return difference > CHANGED_RATE_PER_S + CHANGED_FRACTION * sent_per_s


def _describe_member(world: World, now_s: float, row: PeerRow) -> MemberState:
    return MemberState(
        row.seat,
        row.incarnation,
        round(now_s - row.started_s, 1),
        round(max(0.0, now_s - row.last_heard_s), 1),
        row.revision,
        row.is_leaving,
    )


def local_demands(world: World, now_s: float) -> dict[str, float]:
    """Return the demand of each account in the own data centre, where there is any."""
    demands: dict[str, float] = {}
    told = [row.demands for row in local_peers(world) if may_refill(row, now_s)]
    for bucket in world.buckets.rows():
        demand = bucket.advertised_demand_per_s
        for reported in told:
            if bucket.account in reported:
                demand += reported[bucket.account].rate_per_s
        if demand > CHANGED_RATE_PER_S:
            demands[bucket.account] = round(demand, 2)
    return demands


def _handle_summary(world: World, now_s: float, summary: DataCentreSummary) -> Effects:
    own = world.identity
    if summary.data_centre == own.data_centre:
        return []
    as_of_s = now_s - max(0.0, summary.age_s)
    row = world.data_centres.get_or_create(summary.data_centre)
    effects: Effects = []
    if summary.is_relayed:
        _note_members(world, as_of_s, summary)
    else:
        effects += _update_members(world, as_of_s, summary)
        row.direct_s = max(row.direct_s, as_of_s)
    row.missed = frozenset(summary.missed)
    if summary.is_complete and as_of_s >= row.as_of_s:
        row.demands = {}
    row.demands.update(summary.demands)
    row.as_of_s = max(row.as_of_s, as_of_s)
    apply_summary_counts(row, as_of_s, summary.in_flight)
    confirm_summary(row, own.data_centre, as_of_s, summary.unheard)
    apply_uses(world, now_s, summary.handled, is_local=False)
    apply_responses(world, summary.responses, is_local=False)
    if summary.is_passed_on:
        if not summary.is_relayed:
            row.passed_on_s = now_s
        return effects
    if not summary.is_relayed:
        effects += relay_summary(world, summary)
    if now_s - row.passed_on_s < PASSED_ON_S and local_rank(world) > 0:
        # The first relay passes them on; this one does when the first does not.
        return effects
    passed_on = replace(summary, is_passed_on=True)
    return effects + [
        SendPeerMessage(peer.seat, passed_on)
        for peer in local_peers(world)
        if peer.is_alive
    ]


def _list_members(summary: DataCentreSummary) -> list[MemberState]:
    """List the instances that a summary describes, its sender first."""
    sender = MemberState(
        summary.seat, summary.incarnation, summary.uptime_s, 0.0, summary.revision
    )
    return [sender, *summary.members]


def _get_or_create_member(world: World, data_centre: str, seat: str) -> PeerRow:
    row = world.peers.get(seat)
    if row is None:
        region = world.configuration.region_of(data_centre)
        row = PeerRow(seat, data_centre, region)
        world.peers.add(row)
    return row


def _note_members(world: World, as_of_s: float, summary: DataCentreSummary) -> None:
    """Record that a third data centre hears those of one that is silent here.

    They refill their part, but cannot be asked for anything from here.
    """
    for member in _list_members(summary):
        row = _get_or_create_member(world, summary.data_centre, member.seat)
        row.is_leaving = member.is_leaving
        heard_s = as_of_s - max(0.0, member.silent_s)
        row.relayed_s = max(row.relayed_s, heard_s)


def _update_members(
    world: World, as_of_s: float, summary: DataCentreSummary
) -> Effects:
    """Update the rows of a data centre's instances, which send no heartbeats here."""
    effects: Effects = []
    members = _list_members(summary)
    for member in members:
        row = _get_or_create_member(world, summary.data_centre, member.seat)
        if is_outdated(row, member.incarnation):
            continue
        if member.incarnation != row.incarnation:
            row.incarnation = member.incarnation
            row.sequence = 0
            row.started_s = as_of_s - member.uptime_s
        heard_s = as_of_s - max(0.0, member.silent_s)
        row.is_summarised = row.is_summarised or heard_s > row.last_heard_s
        row.last_heard_s = max(row.last_heard_s, heard_s)
        row.revision = max(row.revision, member.revision)
        row.is_leaving = member.is_leaving
        if not row.is_alive:
            row.is_alive = True
            text = f"instance {row.seat} is alive"
            effects.append(LogChange(LogLevel.INFO, text))
    alive = {member.seat for member in members}
    for row in world.peers.rows():
        if row.data_centre != summary.data_centre or row.seat in alive:
            continue
        if row.is_alive and row.last_heard_s < as_of_s - world.policies.dead_after_s:
            row.is_alive = False
            text = f"instance {row.seat} is silent"
            effects.append(LogChange(LogLevel.INFO, text))
    return effects
