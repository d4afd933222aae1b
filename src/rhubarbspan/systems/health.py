"""Updates the table of backend servers from listings, probes, loads and drains.

It also reassigns the servers' slots to instances after such changes.
"""

from ..configuration import DrainKind
from ..effects import Effects, LogChange, LogLevel
from ..inputs import (
    EvacuationsListed,
    Inbox,
    PeerMessageReceived,
    PeersListed,
    ProbeFailed,
    ProbeSucceeded,
    ServerListing,
    ServerLoadReported,
    ServersListed,
    ServersUnchanged,
    StoreRecovered,
    Timer,
)
from ..peer_messages import Heartbeat
from ..tables.servers import ServerRow
from ..world import World
from .announcements import (
    LeavingSource,
    apply_announcements,
    record_listed,
    report_leaving,
)
from .load_reports import record_load
from .slots import N_PROBES_TO_FAIL, assign_servers
from .store_eras import is_restored_lately

N_LIVE_LISTINGS_TO_REJOIN = 3
FOREIGN_LOAD_SMOOTHING = 0.6
# Servers first listed within this time of this instance's start count as warm.
START_GRACE_S = 5.0
# Per the platform's description, servers whose registrations have expired register
# again within two seconds of the store's recovery.
RELIST_GRACE_S = 2.2
# If a larger fraction of a pool's registrations is missing, they have expired in an
# outage of the store.
OUTAGE_MISSING_FRACTION = 0.6
# Longest time for which a peer may have a server count as cold.
MAX_TOLD_COLD_S = 3600.0


def watch_servers(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Update the table of backend servers."""
    effects: Effects = []
    if inbox.of(StoreRecovered):
        world.store_recovered_s = now_s
    for evacuations in inbox.of(EvacuationsListed):
        effects += _apply_evacuations(world, now_s, evacuations)
    for received in inbox.of(PeerMessageReceived):
        match received.message:
            case Heartbeat(refusing_servers_s=refusing_s) if refusing_s:
                _mark_refusing(world, now_s, refusing_s)
    for load in inbox.of(ServerLoadReported):
        record_load(world, now_s, load)
    listings = inbox.of(ServersListed)
    are_unchanged = bool(inbox.of(ServersUnchanged))
    if listings or are_unchanged:
        world.servers_listed_s = now_s
    for listed in listings:
        effects += _update_listing(world, now_s, listed)
    for probed in inbox.of(ProbeSucceeded):
        effects += _apply_probe(world, now_s, probed)
    for failed in inbox.of(ProbeFailed):
        effects += _count_failed_probe(world, failed)
    if world.is_configuration_new or listings:
        _apply_drains(world)
    is_due = bool(inbox.due(Timer.HEARTBEAT)) or bool(inbox.of(PeersListed))
    if is_due or listings or world.is_configuration_new:
        assign_servers(world)
        for pool in world.configuration.pools:
            world.queues.mark_changed(pool)
    for pool in inbox.due(Timer.SERVER):
        world.queues.mark_changed(pool)
    return effects


def _update_listing(world: World, now_s: float, listed: ServersListed) -> Effects:
    effects: Effects = []
    names = {server.server_id for server in listed.servers}
    rows = world.servers.of_pool(listed.pool)
    missing = [row for row in rows if row.server_id not in names]
    if _will_be_rewritten(world, now_s, rows, missing):
        missing = []
    for row in missing:
        row.is_listed = False
        row.is_listed_leaving = True
        if not row.running:
            world.servers.remove(row)
            text = f"backend server {row.server_id} is no longer listed"
            effects.append(LogChange(LogLevel.INFO, text))
    for server in listed.servers:
        known = world.servers.get(server.server_id)
        if known is None:
            add_server(world, now_s, server)
        elif _is_brought_back(world, now_s, known, server):
            known.is_listed = True
            continue
        else:
            effects += _refresh_server(world, known, server)
        record_listed(
            world, now_s, server.server_id, server.incarnation, server.is_leaving
        )
        current = world.servers.get(server.server_id)
        if current is not None:
            effects += apply_record(world, now_s, current, server)
    return effects


def _will_be_rewritten(
    world: World, now_s: float, rows: list[ServerRow], missing: list[ServerRow]
) -> bool:
    """Return whether missing registrations have expired and will be written again.

    After a restore of the store all those are missing that were written after the copy.
    Most registrations may expire in an outage of the store. If only a few are missing,
    they did not expire in an outage (only this instance was cut off from the store):
    those servers are gone.
    """
    if is_restored_lately(world, now_s):
        return True
    if now_s - world.store_recovered_s >= RELIST_GRACE_S:
        return False
    staying = [row for row in rows if not row.is_leaving]
    n_missing = sum(not row.is_leaving for row in missing)
    return n_missing > OUTAGE_MISSING_FRACTION * len(staying)


def _is_brought_back(
    world: World, now_s: float, row: ServerRow, server: ServerListing
) -> bool:
    """Return whether a restore of the store has brought back an older registration.

    The server writes the newer one again. Until then the older one would have requests
    sent to an earlier incarnation, or none to a server that no longer leaves.
    """
    if not is_restored_lately(world, now_s):
        return False
    listed = (server.incarnation, server.sequence)
    return listed < (row.incarnation, row.sequence)


def apply_record(
    world: World, now_s: float, row: ServerRow, server: ServerListing
) -> Effects:
    """Apply a server's registration; a new incarnation resets what was measured."""
    effects: Effects = []
    if server.incarnation != row.incarnation:
        if row.incarnation:
            text = f"backend server {row.server_id} started again"
            effects.append(LogChange(LogLevel.INFO, text))
        row.incarnation = server.incarnation
        row.generation = str(server.incarnation)
        row.misdirected_incarnation = -1
        row.is_listed_leaving = server.is_leaving
        row.sequence = -1
        row.n_others = 0.0
        row.n_told_uses = 0.0
        row.slowdown = 1.0
        row.failure_rate = 0.0
        row.ejected_until_s = -1e9
        row.shed_until_s = -1e9
        world.objects.forget_server(row.server_id)
    apply_announcements(world, row)
    if row.pool != server.pool or row.data_centre != server.data_centre:
        world.servers.remove(row)
        row.pool = server.pool
        row.data_centre = server.data_centre
        row.region = world.configuration.region_of(server.data_centre)
        world.servers.add(row)
    if server.sequence != row.sequence:
        row.sequence = server.sequence
        row.sequence_s = now_s
        if server.cold_s > 0:
            row.cold_until_s = max(row.cold_until_s, now_s + server.cold_s)
    row.n_slots = server.n_slots
    row.is_evacuated = server.data_centre in world.evacuated
    return effects


def _apply_evacuations(
    world: World, now_s: float, listed: EvacuationsListed
) -> Effects:
    """Mark servers of evacuated data centres; servers that return count as cold.

    After a restore of the store the operator may have to write an evacuation again, so
    that those in force are kept for some time.
    """
    effects: Effects = []
    evacuated = listed.data_centres
    if is_restored_lately(world, now_s):
        evacuated |= world.evacuated
    for name in sorted(evacuated ^ world.evacuated):
        is_now_evacuated = name in evacuated
        text = (
            f"data centre {name} is "
            f"{'evacuated' if is_now_evacuated else 'no longer evacuated'}"
        )
        effects.append(LogChange(LogLevel.INFO, text))
    for row in world.servers.rows():
        is_now_evacuated = row.data_centre in evacuated
        if row.is_evacuated and not is_now_evacuated:
            # Servers cool down while they get no requests.
            pool = world.configuration.pools.get(row.pool)
            row.cold_until_s = now_s + (pool.ramp_s if pool else 0.0)
            world.objects.forget_server(row.server_id)
        row.is_evacuated = is_now_evacuated
        world.queues.mark_changed(row.pool)
    world.evacuated = evacuated
    return effects


def _mark_refusing(world: World, now_s: float, refusing_s: dict[str, float]) -> None:
    """Count servers as cold that refused connections to peers."""
    for server_id, remaining_s in refusing_s.items():
        row = world.servers.get(server_id)
        if row is not None:
            until_s = now_s + min(remaining_s, MAX_TOLD_COLD_S)
            row.refused_until_s = max(row.refused_until_s, until_s)
            row.cold_until_s = max(row.cold_until_s, until_s)


def add_server(world: World, now_s: float, server: ServerListing) -> None:
    """Add a server that was listed or handed over."""
    row = ServerRow(
        server.server_id,
        server.pool,
        server.address,
        server.data_centre,
        world.configuration.region_of(server.data_centre),
        is_listed_leaving=server.is_leaving,
    )
    if now_s - world.started_s > START_GRACE_S:
        row.cold_since_s = now_s
    world.servers.add(row)
    world.servers.never_used[row.server_id] = None


def _refresh_server(world: World, row: ServerRow, server: ServerListing) -> Effects:
    """Apply a listing to a known server.

    A server that was listed as leaving counts as leaving until it has rejoined. One
    that has said so in a response cannot rejoin, see ``announcements``.
    Listings lag, so one live listing after a leaving one may be outdated: rejoining
    takes a new generation of the process, or several live listings in a row.
    """
    row.is_listed = True
    row.address = server.address
    if server.is_leaving:
        row.n_live_listings = 0
        if row.is_listed_leaving:
            return []
        row.is_listed_leaving = True
        row.leaving_generation = row.generation
        return report_leaving(
            world, row.server_id, server.incarnation, LeavingSource.LIST
        )
    if not row.is_listed_leaving:
        return []
    row.n_live_listings += 1
    is_new_generation = row.generation != row.leaving_generation
    if is_new_generation or row.n_live_listings >= N_LIVE_LISTINGS_TO_REJOIN:
        row.is_listed_leaving = False
        row.n_live_listings = 0
    return []


def _apply_probe(world: World, now_s: float, probed: ProbeSucceeded) -> Effects:
    row = world.servers.get(probed.server_id)
    if row is None:
        return []
    effects: Effects = []
    if row.generation and probed.generation != row.generation:
        row.cold_since_s = now_s
        row.n_foreign = 0.0
        row.ejected_until_s = -1e9
        text = f"backend server {row.server_id} restarted"
        effects.append(LogChange(LogLevel.INFO, text))
    if row.is_refusing == probed.is_accepting:
        state = "accepts work" if probed.is_accepting else "refuses new work"
        text = f"backend server {row.server_id} {state}"
        effects.append(LogChange(LogLevel.INFO, text))
    row.generation = probed.generation
    row.is_refusing = not probed.is_accepting
    row.n_failed_probes = 0
    row.n_reported = probed.n_in_flight
    row.reported_s = now_s
    excess = probed.n_in_flight - len(row.running) - row.n_lent
    row.n_foreign += FOREIGN_LOAD_SMOOTHING * (excess - row.n_foreign)
    world.queues.mark_changed(row.pool)
    return effects


def _count_failed_probe(world: World, failed: ProbeFailed) -> Effects:
    row = world.servers.get(failed.server_id)
    if row is None:
        return []
    row.n_failed_probes += 1
    if row.n_failed_probes != N_PROBES_TO_FAIL:
        return []
    text = f"backend server {row.server_id} does not answer probes"
    return [LogChange(LogLevel.WARNING, text)]


def _apply_drains(world: World) -> None:
    """Mark the drained servers; also fill in regions that were unknown."""
    drained = {
        (drain.kind, drain.target) for drain in world.configuration.drains.values()
    }
    for row in world.servers.rows():
        region = row.region or world.configuration.region_of(row.data_centre)
        if region != row.region:
            world.servers.remove(row)
            row.region = region
            world.servers.add(row)
        row.is_drained = (DrainKind.BACKEND_SERVER, row.server_id) in drained or (
            DrainKind.DATA_CENTRE,
            row.data_centre,
        ) in drained
