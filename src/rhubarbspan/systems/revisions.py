"""Puts newer configuration revisions in force and sends them to peers.

The revision in force never decreases, also if the store is restored from a copy with an
older one.
"""

from dataclasses import replace

from ..checking import check_document
from ..configuration import Configuration
from ..document import (
    DATA_CENTRE_PREFIX,
    ROUTE_PREFIX,
    Change,
    Document,
    Section,
    Snapshot,
    apply_changes,
)
from ..document_rules import OwnRules, TranslatedRules
from ..effects import Effects, LogChange, LogLevel, SendPeerMessage
from ..inputs import (
    ConfigurationReceived,
    Inbox,
    PeerMessageReceived,
    RevisionConfirmed,
)
from ..peer_messages import ConfigurationDelivery, ConfigurationRequest, Heartbeat
from ..policies import InstanceAge, RouteAge
from ..world import World
from .store_eras import shows_newest

N_CHANGES_KEPT = 256
REQUEST_INTERVAL_S = 0.2
MAX_CONFIG_AGE_KEY = "max_config_age_s"


def apply_revisions(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Apply configuration from the store or peers, and send it to peers on request."""
    world.is_configuration_new = False
    effects: Effects = []
    for update in inbox.of(ConfigurationReceived):
        effects += _handle_configuration(world, now_s, update)
    for confirmation in inbox.of(RevisionConfirmed):
        if _covers(world, confirmation.revision):
            read_s = confirmation.requested_s
            _confirm(world, now_s, read_s, confirmation.is_just_written)
        elif confirmation.revision < world.configuration_state.snapshot.revision:
            effects += _report_older(world, confirmation.revision)
    for received in inbox.of(PeerMessageReceived):
        match received.message:
            case Heartbeat() as heartbeat:
                effects += _compare_revisions(world, now_s, heartbeat)
            case ConfigurationRequest() as request:
                effects += _deliver_configuration(world, request)
            case ConfigurationDelivery(snapshot=snapshot, changes=changes):
                update = ConfigurationReceived(snapshot, changes)
                effects += _handle_configuration(world, now_s, update)
    return effects


def _handle_configuration(
    world: World, now_s: float, update: ConfigurationReceived
) -> Effects:
    state = world.configuration_state
    base = state.snapshot
    if update.snapshot is not None and update.snapshot.revision > base.revision:
        base = update.snapshot
    new_snapshot = apply_changes(base, update.changes)
    if new_snapshot is None:
        world.count("configuration_gaps")
        return []
    if new_snapshot.revision <= state.snapshot.revision:
        return _confirm_or_report(world, now_s, update) if update.is_from_store else []
    known: Configuration | None = world.configuration
    if not _has_same_data_centres(state.snapshot.document, new_snapshot.document):
        known = None
    configuration, problems = check_document(
        new_snapshot.document, new_snapshot.revision, known, world.policies.documents
    )
    place = f"revision {new_snapshot.revision}"
    effects: Effects = []
    match world.policies.documents:
        case OwnRules() if problems:
            world.count("configuration_rejected")
            text = problems[0].describe(place)
            return [LogChange(LogLevel.WARNING, f"configuration rejected: {text}")]
        case TranslatedRules() if problems:
            world.count("configuration_entries_changed")
            text = f"{len(problems)} entries changed: {problems[0].describe(place)}"
            effects.append(LogChange(LogLevel.WARNING, text))
        case OwnRules() | TranslatedRules():
            pass
    _put_in_force(world, now_s, new_snapshot, configuration, update)
    text = f"configuration {place} in force"
    return [*effects, LogChange(LogLevel.INFO, text)]


def _has_same_data_centres(old: Document, new: Document) -> bool:
    """Return whether two documents have identical data centre sections."""
    titles = [title for title in new if title.startswith(DATA_CENTRE_PREFIX)]
    n_old = sum(title.startswith(DATA_CENTRE_PREFIX) for title in old)
    return n_old == len(titles) > 0 and all(
        old.get(title) == new[title] for title in titles
    )


def _put_in_force(
    world: World,
    now_s: float,
    snapshot: Snapshot,
    configuration: Configuration,
    update: ConfigurationReceived,
) -> None:
    state = world.configuration_state
    state.changes = _join_changes(state.changes, update.changes, snapshot.revision)
    state.snapshot = snapshot
    state.in_force_s = now_s
    if update.is_from_store:
        _confirm(world, now_s, update.confirmed_s, update.is_just_written)
    world.configuration = configuration
    world.is_configuration_new = True
    world.count("configuration_changes")


def _confirm_or_report(
    world: World, now_s: float, update: ConfigurationReceived
) -> Effects:
    """Handle a reading of the store that holds nothing newer than what is in force."""
    revision = world.configuration_state.snapshot.revision
    stored = revision if update.snapshot is None else update.snapshot.revision
    if not _covers(world, stored):
        return _report_older(world, stored)
    _confirm(world, now_s, update.confirmed_s, update.is_just_written)
    return []


def _covers(world: World, revision: int) -> bool:
    """Return whether a revision that the store holds confirms the one in force.

    That an earlier revision was the newest at some time holds for the later ones too,
    unless a restore has brought it back: then a later one than that in force may be
    lost as well.
    """
    in_force = world.configuration_state.snapshot.revision
    if world.store_era.number > 0:
        return revision == in_force
    return revision <= in_force


def _confirm(
    world: World, now_s: float, read_s: float | None, is_just_written: bool
) -> None:
    """Record when the store was known to hold no newer configuration."""
    state = world.configuration_state
    state.older_revision = 0
    confirmed_s = now_s if read_s is None else read_s
    state.read_s = max(state.read_s, confirmed_s)
    if shows_newest(world, confirmed_s, is_just_written):
        state.confirmed_s = max(state.confirmed_s, confirmed_s)


def _report_older(world: World, revision: int) -> Effects:
    """Report once that a restored store holds an older revision than the one in force.

    What it shows confirms nothing until the operator has written again.
    """
    state = world.configuration_state
    if revision == state.older_revision:
        return []
    state.older_revision = revision
    world.count("configuration_older_in_store")
    text = (
        f"the restored store holds configuration revision {revision}; "
        f"{state.snapshot.revision} stays in force until the operator writes again"
    )
    return [LogChange(LogLevel.WARNING, text)]


def _join_changes(
    kept: list[Change], added: list[Change], revision: int
) -> list[Change]:
    """Return the longest run of consecutive changes that ends at a revision.

    At most ``N_CHANGES_KEPT`` changes are returned.
    """
    by_revision = {change.revision: change for change in [*kept, *added]}
    run: list[Change] = []
    while revision in by_revision and len(run) < N_CHANGES_KEPT:
        run.append(by_revision[revision])
        revision -= 1
    run.reverse()
    return run


def _compare_revisions(world: World, now_s: float, heartbeat: Heartbeat) -> Effects:
    state = world.configuration_state
    made_s = _made_after_s(world, heartbeat)
    if made_s is not None:
        # No message of a peer tells of the time to come.
        read_s = min(made_s - heartbeat.read_age_s, now_s)
        confirmed_s = min(made_s - heartbeat.config_age_s, now_s)
        if heartbeat.data_centre == world.identity.data_centre:
            state.read_s = max(state.read_s, read_s)
        if heartbeat.revision == state.snapshot.revision:
            state.confirmed_s = max(state.confirmed_s, confirmed_s)
    if heartbeat.revision <= state.snapshot.revision:
        return []
    if now_s - state.requested_s < REQUEST_INTERVAL_S:
        return []
    state.requested_s = now_s
    own = world.identity
    request = ConfigurationRequest(own.seat, own.incarnation, state.snapshot.revision)
    return [SendPeerMessage(heartbeat.seat, request)]


def _made_after_s(world: World, heartbeat: Heartbeat) -> float | None:
    """Return a time after which a peer is known to have made a heartbeat.

    The time of receipt says nothing of a heartbeat's age: it may have been delayed by
    the network or by a paused machine. The heartbeat was made after this instance's
    own heartbeat that it echoes, so the time is counted from the sending of that one.
    It is None if the echoed heartbeat is unknown.
    """
    if heartbeat.echoed_incarnation != world.identity.incarnation:
        return None
    sent_s = world.heartbeats_sent_s.get(heartbeat.echoed_sequence)
    if sent_s is None:
        return None
    return sent_s + heartbeat.echo_age_s


def _deliver_configuration(world: World, request: ConfigurationRequest) -> Effects:
    state = world.configuration_state
    if request.revision >= state.snapshot.revision:
        return []
    own = world.identity
    changes = [c for c in state.changes if c.revision > request.revision]
    is_complete = bool(changes) and changes[0].revision == request.revision + 1
    snapshot = None if is_complete else _with_own_bound(world, state.snapshot)
    delivery = ConfigurationDelivery(
        own.seat,
        own.incarnation,
        snapshot,
        changes if is_complete else [],
    )
    return [SendPeerMessage(request.seat, delivery)]


def _with_own_bound(world: World, snapshot: Snapshot) -> Snapshot:
    """Add the own bound on the configuration's age to the routes that need a key.

    Instances of earlier versions have no other bound. Later ones use their own.
    """
    match world.policies.config_age:
        case RouteAge():
            return snapshot
        case InstanceAge(max_age_s=max_age_s):
            bound = {MAX_CONFIG_AGE_KEY: str(max_age_s)}
    document = {
        title: {**section, **bound} if _needs_key(title, section) else section
        for title, section in snapshot.document.items()
    }
    return replace(snapshot, document=document)


def _needs_key(title: str, section: Section) -> bool:
    return title.startswith(ROUTE_PREFIX) and section.get("open") != "yes"
