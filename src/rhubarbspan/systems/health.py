"""Watches backend servers: listings, probes, drains, and who hands out their slots."""

from ..configuration import DrainKind
from ..effects import Effects, Level, LogChange
from ..inputs import (
    Inbox,
    PeersListed,
    ProbeFailed,
    ServerListing,
    ServerProbed,
    ServersListed,
    Timer,
)
from ..tables.servers import ServerRow
from ..world import World
from .slots import N_PROBES_TO_FAIL, assign_servers

N_LISTINGS_TO_RETURN = 3
FOREIGN_SMOOTHING = 0.6
START_GRACE_S = 5.0


def watch_servers(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Update the table of backend servers."""
    effects: Effects = []
    listings = inbox.of(ServersListed)
    for listed in listings:
        effects += _update_listing(world, now_s, listed)
    for probed in inbox.of(ServerProbed):
        effects += _note_probe(world, now_s, probed)
    for failed in inbox.of(ProbeFailed):
        effects += _note_failed_probe(world, failed)
    if world.is_configuration_new or listings:
        _apply_drains(world)
    is_due = bool(inbox.due(Timer.HEARTBEAT)) or bool(inbox.of(PeersListed))
    if is_due or listings or world.is_configuration_new:
        assign_servers(world)
        for pool in world.configuration.pools:
            world.queues.mark(pool)
    for pool in inbox.due(Timer.SERVER):
        world.queues.mark(pool)
    return effects


def _update_listing(world: World, now_s: float, listed: ServersListed) -> Effects:
    effects: Effects = []
    names = {server.server_id for server in listed.servers}
    for row in world.servers.of_pool(listed.pool):
        if row.server_id in names:
            continue
        row.is_listed = False
        row.is_listed_leaving = True
        if not row.running:
            world.servers.remove(row)
            text = f"backend server {row.server_id} is no longer listed"
            effects.append(LogChange(Level.INFO, text))
    for server in listed.servers:
        known = world.servers.get(server.server_id)
        if known is None:
            _add_server(world, now_s, server)
        else:
            effects += _refresh_server(known, server)
    return effects


def _add_server(world: World, now_s: float, server: ServerListing) -> None:
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


def _refresh_server(row: ServerRow, server: ServerListing) -> Effects:
    """Apply a listing; leaving holds until the server is known to be back.

    The list lags, so one listing as live after one as leaving proves nothing:
    it takes another life of the process, or several listings in a row.
    """
    row.is_listed = True
    row.address = server.address
    if server.is_leaving:
        row.n_live_listings = 0
        if row.is_listed_leaving:
            return []
        row.is_listed_leaving = True
        row.left_generation = row.generation
        text = f"backend server {row.server_id} is leaving"
        return [LogChange(Level.INFO, text)]
    if not row.is_listed_leaving:
        return []
    row.n_live_listings += 1
    is_new_life = row.generation != row.left_generation
    if is_new_life or row.n_live_listings >= N_LISTINGS_TO_RETURN:
        row.is_listed_leaving = False
        row.n_live_listings = 0
    return []


def _note_probe(world: World, now_s: float, probed: ServerProbed) -> Effects:
    row = world.servers.get(probed.server_id)
    if row is None:
        return []
    effects: Effects = []
    if row.generation and probed.generation != row.generation:
        row.cold_since_s = now_s
        row.n_foreign = 0.0
        row.ejected_until_s = -1e9
        text = f"backend server {row.server_id} restarted"
        effects.append(LogChange(Level.INFO, text))
    if row.is_refusing == probed.is_accepting:
        state = "accepts work" if probed.is_accepting else "refuses new work"
        text = f"backend server {row.server_id} {state}"
        effects.append(LogChange(Level.INFO, text))
    row.generation = probed.generation
    row.is_refusing = not probed.is_accepting
    row.n_failed_probes = 0
    row.n_reported = probed.n_in_flight
    row.reported_s = now_s
    excess = probed.n_in_flight - len(row.running) - row.n_lent
    row.n_foreign += FOREIGN_SMOOTHING * (excess - row.n_foreign)
    world.queues.mark(row.pool)
    return effects


def _note_failed_probe(world: World, failed: ProbeFailed) -> Effects:
    row = world.servers.get(failed.server_id)
    if row is None:
        return []
    row.n_failed_probes += 1
    if row.n_failed_probes != N_PROBES_TO_FAIL:
        return []
    text = f"backend server {row.server_id} does not answer probes"
    return [LogChange(Level.WARNING, text)]


def _apply_drains(world: World) -> None:
    drained = {
        (drain.kind, drain.target) for drain in world.configuration.drains.values()
    }
    for row in world.servers.rows():
        if not row.region:
            world.servers.remove(row)
            row.region = world.configuration.region_of(row.data_centre)
            world.servers.add(row)
        row.is_drained = (DrainKind.BACKEND_SERVER, row.server_id) in drained or (
            DrainKind.DATA_CENTRE,
            row.data_centre,
        ) in drained
