"""Puts configuration revisions in force and passes them on; they never go back."""

from ..checking import check_document
from ..configuration import Configuration
from ..document import DATA_CENTRE_PREFIX, Change, Document, Snapshot, apply_changes
from ..effects import Effects, LogChange, LogLevel, SendPeerMessage
from ..inputs import (
    ConfigurationReceived,
    Inbox,
    PeerMessageReceived,
    RevisionConfirmed,
)
from ..peer_messages import ConfigurationDelivery, ConfigurationRequest, Heartbeat
from ..world import World

N_CHANGES_KEPT = 256
ASK_INTERVAL_S = 0.2


def put_revisions_in_force(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Take configuration from the store or peers, and answer peers that ask."""
    world.is_configuration_new = False
    effects: Effects = []
    for offer in inbox.of(ConfigurationReceived):
        effects += _consider_offer(world, now_s, offer)
    state = world.configuration_state
    for contact in inbox.of(RevisionConfirmed):
        if contact.revision <= state.snapshot.revision:
            asked_s = now_s if contact.requested_s is None else contact.requested_s
            state.confirmed_s = max(state.confirmed_s, asked_s)
    for received in inbox.of(PeerMessageReceived):
        match received.message:
            case Heartbeat() as heartbeat:
                effects += _compare_revisions(world, now_s, heartbeat)
            case ConfigurationRequest() as request:
                effects += _deliver(world, request)
            case ConfigurationDelivery(snapshot=snapshot, changes=changes):
                offer = ConfigurationReceived(snapshot, changes)
                effects += _consider_offer(world, now_s, offer)
    return effects


def config_age_s(world: World, now_s: float) -> float:
    """Return how long ago the configuration was known to be the newest."""
    return max(0.0, now_s - world.configuration_state.confirmed_s)


def _consider_offer(
    world: World, now_s: float, offer: ConfigurationReceived
) -> Effects:
    state = world.configuration_state
    base = state.snapshot
    if offer.snapshot is not None and offer.snapshot.revision > base.revision:
        base = offer.snapshot
    offered = apply_changes(base, offer.changes)
    if offered is None:
        world.count("configuration_gaps")
        return []
    if offered.revision <= state.snapshot.revision:
        if offer.is_from_store and offered.revision == state.snapshot.revision:
            state.confirmed_s = now_s
        return []
    known: Configuration | None = world.configuration
    if not _has_same_places(state.snapshot.document, offered.document):
        known = None
    configuration, problems = check_document(offered.document, offered.revision, known)
    if problems:
        world.count("configuration_rejected")
        text = problems[0].describe(f"revision {offered.revision}")
        return [LogChange(LogLevel.WARNING, f"configuration rejected: {text}")]
    _put_in_force(world, now_s, offered, configuration, offer)
    text = f"configuration revision {offered.revision} in force"
    return [LogChange(LogLevel.INFO, text)]


def _has_same_places(old: Document, new: Document) -> bool:
    """Tell whether two documents have the very same sections about places."""
    places = [title for title in new if title.startswith(DATA_CENTRE_PREFIX)]
    n_old = sum(title.startswith(DATA_CENTRE_PREFIX) for title in old)
    return n_old == len(places) > 0 and all(
        old.get(title) == new[title] for title in places
    )


def _put_in_force(
    world: World,
    now_s: float,
    snapshot: Snapshot,
    configuration: Configuration,
    offer: ConfigurationReceived,
) -> None:
    state = world.configuration_state
    state.changes = _join_changes(state.changes, offer.changes, snapshot.revision)
    state.snapshot = snapshot
    state.in_force_s = now_s
    if offer.is_from_store:
        state.confirmed_s = now_s if offer.confirmed_s is None else offer.confirmed_s
    world.configuration = configuration
    world.is_configuration_new = True
    world.count("configuration_changes")


def _join_changes(
    kept: list[Change], offered: list[Change], revision: int
) -> list[Change]:
    """Join changes to the longest run of consecutive ones that ends at a revision."""
    by_revision = {change.revision: change for change in [*kept, *offered]}
    run: list[Change] = []
    while revision in by_revision and len(run) < N_CHANGES_KEPT:
        run.append(by_revision[revision])
        revision -= 1
    run.reverse()
    return run


def _compare_revisions(world: World, now_s: float, heartbeat: Heartbeat) -> Effects:
    state = world.configuration_state
    if heartbeat.revision == state.snapshot.revision:
        confirmed_s = _vouched_s(world, heartbeat)
        if confirmed_s is not None:
            state.confirmed_s = max(state.confirmed_s, confirmed_s)
    if heartbeat.revision <= state.snapshot.revision:
        return []
    if now_s - state.requested_s < ASK_INTERVAL_S:
        return []
    state.requested_s = now_s
    me = world.identity
    request = ConfigurationRequest(me.seat, me.incarnation, state.snapshot.revision)
    return [SendPeerMessage(heartbeat.seat, request)]


def _vouched_s(world: World, heartbeat: Heartbeat) -> float | None:
    """Return up to when a peer vouches that nothing newer was accepted.

    A heartbeat may have been on its way, or in a machine that stood still, for long.
    It was made after this instance's own heartbeat that it echoes, which dates it.
    """
    if heartbeat.echoed_incarnation != world.identity.incarnation:
        return None
    sent_s = world.heartbeats_sent_s.get(heartbeat.echoed_sequence)
    if sent_s is None:
        return None
    return sent_s + heartbeat.echo_age_s - heartbeat.config_age_s


def _deliver(world: World, request: ConfigurationRequest) -> Effects:
    state = world.configuration_state
    if request.revision >= state.snapshot.revision:
        return []
    me = world.identity
    changes = [c for c in state.changes if c.revision > request.revision]
    is_whole = bool(changes) and changes[0].revision == request.revision + 1
    snapshot = None if is_whole else state.snapshot
    delivery = ConfigurationDelivery(
        me.seat, me.incarnation, snapshot, changes if is_whole else []
    )
    return [SendPeerMessage(request.seat, delivery)]
