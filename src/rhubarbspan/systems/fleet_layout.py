"""Decides which instances exchange messages and which of them read the store.

In a small fleet every instance sends heartbeats to every other one. In a larger one
the instances of a data centre send them to each other, and relays exchange a summary
of each data centre; they also read the store for the instances of their data centre.
The first live instances of a data centre in the order of their names are its relays:
a rule that needs no election. Each relay works by itself, so that the loss of one
leaves no gap.
"""

from collections import Counter

from ..tables.peers import PeerRow
from ..world import World

N_RELAYS = 2
# Heartbeats between two summaries.
N_HEARTBEATS_PER_SUMMARY = 2


def is_two_level(world: World) -> bool:
    """Return whether heartbeats stay inside data centres, and relays summarise them."""
    return world.is_two_level


def choose_layout(world: World) -> None:
    """Choose the layout with fewer messages, counted over the known instances.

    Instances may use different layouts for a while, since they do not learn of others
    at the same time. Those that send heartbeats to all are heard by all; for the others
    the relays of their data centre send summaries, whatever layout these use.
    """
    n_instances: Counter[str] = Counter([world.identity.data_centre])
    for row in world.peers.rows():
        if row.is_alive or row.is_listed:
            n_instances[row.data_centre] += 1
    n_all = n_instances.total()
    n_local = sum(n * (n - 1) for n in n_instances.values())
    n_across = N_RELAYS * len(n_instances) * (len(n_instances) - 1)
    world.is_two_level = n_all * (n_all - 1) > n_local + n_across


def sends_summaries(world: World) -> bool:
    """Return whether this instance tells other data centres about its own."""
    if not is_relay(world):
        return False
    return world.is_two_level or any(
        row.is_alive and row.is_two_level for row in local_peers(world)
    )


def local_peers(world: World) -> list[PeerRow]:
    """List the other instances of the own data centre."""
    data_centre = world.identity.data_centre
    return [row for row in world.peers.rows() if row.data_centre == data_centre]


def local_rank(world: World) -> int:
    """Return how many live instances of the data centre come before this one."""
    seat = world.identity.seat
    return sum(
        row.seat < seat
        for row in local_peers(world)
        if row.is_alive and not row.is_leaving
    )


def is_relay(world: World) -> bool:
    """Return whether this instance is a relay of its data centre."""
    return world.departure is None and local_rank(world) < N_RELAYS


def counterpart_relays(world: World) -> list[PeerRow]:
    """List the instances of the other data centres that this relay exchanges with.

    Relays exchange with those of the same rank, so that a failed relay interrupts only
    one of the two ways between data centres. In a data centre of which no instance is
    known to be alive, all that are listed are tried: any of them may have failed.
    """
    alive: dict[str, list[PeerRow]] = {}
    listed: dict[str, list[PeerRow]] = {}
    for row in sorted(world.peers.rows(), key=lambda row: row.seat):
        if row.data_centre == world.identity.data_centre or row.is_leaving:
            continue
        if row.is_alive:
            alive.setdefault(row.data_centre, []).append(row)
        elif row.is_listed:
            listed.setdefault(row.data_centre, []).append(row)
    rank = local_rank(world)
    found = [rows[min(rank, len(rows) - 1)] for rows in alive.values()]
    for name, rows in listed.items():
        if name not in alive:
            found += rows
    return found


def known_seats(world: World) -> list[str]:
    """List the seats of the other instances among which sums are divided."""
    return [row.seat for row in known_rows(world)]


def known_rows(world: World) -> list[PeerRow]:
    """List the other instances that may be running.

    Those that are silent count while they are listed: they may be cut off only from
    this instance.
    """
    return [row for row in world.peers.rows() if row.is_alive or row.is_listed]
