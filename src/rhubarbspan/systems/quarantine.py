"""Quarantines requests that crash the backend servers that run them."""

from ..effects import Effects, LogChange, LogLevel
from ..inputs import Inbox, PeerMessageReceived, Timer
from ..peer_messages import Heartbeat, SuspectNotice
from ..tables.requests import RequestRow
from ..tables.servers import ServerRow
from ..tables.suspects import SuspectRow
from ..world import World
from .suspect_sharing import is_told_locally, note_change

N_CRASHES_TO_QUARANTINE = 2
# For a request that has run without crashing its server.
N_CRASHES_TO_QUARANTINE_SAFE = 3
# An answer that comes this long after a connection broke was not on its way then.
SURVIVAL_MARGIN_S = 0.1
QUARANTINE_S = 600.0
SUSPECT_RETENTION_S = 600.0


def update_suspects(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Merge peers' reports of suspects, and remove old suspects."""
    effects: Effects = []
    for received in inbox.of(PeerMessageReceived):
        match received.message:
            case Heartbeat(suspects=notices) as heartbeat if notices:
                is_known = is_told_locally(world, heartbeat)
                for notice in notices:
                    effects += _merge_notice(world, now_s, notice, is_known)
    if inbox.due(Timer.STEERING):
        _remove_old(world, now_s)
    return effects


def record_crash(
    world: World, now_s: float, row: RequestRow, server: ServerRow
) -> Effects:
    """Record that a server's connection broke while it ran a request.

    Requests lost with the same generation of a server count as in flight at one
    crash.
    """
    if not row.fingerprint:
        return []
    crash = _crash_of(server)
    in_flight = world.suspects.in_flight_at_crash.setdefault(crash, {})
    in_flight[row.fingerprint] = now_s
    suspect = world.suspects.get_or_create(row.fingerprint)
    suspect.last_crash_s = now_s
    for fingerprint in in_flight:
        present = world.suspects.get_or_create(fingerprint)
        present.crashes[crash] = len(in_flight)
        note_change(world, present)
    world.deadlines.arm(now_s, Timer.HEARTBEAT, "extra")
    return _quarantine_if_due(world, now_s, suspect)


def refute_crashes(
    world: World, now_s: float, row: RequestRow, server: ServerRow
) -> None:
    """Clear requests of a crash that did not happen, as an answer of the server shows.

    The server held the answered request already when their connections broke, so that
    its process has not ended since.
    """
    crash = _crash_of(server)
    in_flight = world.suspects.in_flight_at_crash.get(crash, {})
    refuted = [
        fingerprint
        for fingerprint, lost_s in in_flight.items()
        if row.sent_s < lost_s <= now_s - SURVIVAL_MARGIN_S
    ]
    for fingerprint in refuted:
        del in_flight[fingerprint]
        suspect = world.suspects.get_or_create(fingerprint)
        suspect.cleared[crash] = None
        note_change(world, suspect)
        _end_quarantine_if_due(world, suspect)
    if refuted:
        world.count("crashes_refuted")
        world.deadlines.arm(now_s, Timer.HEARTBEAT, "extra")


def clear_suspect(world: World, row: RequestRow) -> None:
    """Clear a request of all crashes so far, as it ran without crashing its server."""
    if not row.fingerprint:
        return
    world.suspects.mark_safe(row.fingerprint)
    suspect = world.suspects.get(row.fingerprint)
    if suspect is None:
        return
    if _uncleared_crashes(suspect):
        note_change(world, suspect)
    suspect.cleared.update(dict.fromkeys(suspect.crashes))
    suspect.quarantined_until_s = -1e9


def is_suspect(world: World, fingerprint: str) -> bool:
    """Return whether a request was in flight at a crash and not cleared since."""
    row = world.suspects.get(fingerprint) if fingerprint else None
    return row is not None and bool(_uncleared_crashes(row))


def is_quarantined(world: World, now_s: float, fingerprint: str) -> bool:
    """Return whether a request is quarantined and must not run."""
    row = world.suspects.get(fingerprint) if fingerprint else None
    return row is not None and now_s < row.quarantined_until_s


def must_wait(world: World, now_s: float, row: RequestRow) -> bool:
    """Return whether a request must not be sent yet.

    Requests with the same fingerprint run one at a time on this instance until one
    of them has run without crashing its server. A request that was lost with a
    server waits for the crashes that peers report.
    """
    if now_s < row.not_before_s:
        return True
    if not row.fingerprint or world.suspects.is_known_safe(row.fingerprint):
        return False
    return world.suspects.running[row.fingerprint] > 0


def record_start(world: World, row: RequestRow) -> None:
    """Count a request as running."""
    if row.fingerprint:
        world.suspects.running[row.fingerprint] += 1


def record_end(world: World, row: RequestRow) -> None:
    """Count a request as no longer running."""
    if not row.fingerprint:
        return
    world.suspects.running[row.fingerprint] -= 1
    if world.suspects.running[row.fingerprint] <= 0:
        del world.suspects.running[row.fingerprint]


def _crash_of(server: ServerRow) -> str:
    return f"{server.server_id}/{server.generation}"


def _uncleared_crashes(row: SuspectRow) -> list[str]:
    return [crash for crash in row.crashes if crash not in row.cleared]


def _has_crashed_enough(world: World, row: SuspectRow) -> bool:
    n_crashes = len(_uncleared_crashes(row))
    if world.suspects.is_known_safe(row.fingerprint):
        return n_crashes >= N_CRASHES_TO_QUARANTINE_SAFE
    return n_crashes >= N_CRASHES_TO_QUARANTINE


def _end_quarantine_if_due(world: World, row: SuspectRow) -> None:
    if not _has_crashed_enough(world, row):
        row.quarantined_until_s = -1e9


def _quarantine_if_due(world: World, now_s: float, row: SuspectRow) -> Effects:
    if not _has_crashed_enough(world, row):
        return []
    is_new = row.quarantined_until_s <= now_s
    row.quarantined_until_s = now_s + QUARANTINE_S
    if not is_new:
        return []
    world.count("quarantined")
    text = f"request {row.fingerprint} quarantined: present at server deaths"
    return [LogChange(LogLevel.WARNING, text)]


def _merge_notice(
    world: World, now_s: float, notice: SuspectNotice, is_known: bool
) -> Effects:
    """Merge a peer's report; others of the data centre may know it by the peer."""
    row = world.suspects.get_or_create(notice.fingerprint)
    n_known = len(row.crashes) + len(row.cleared)
    for crash, n_suspects in zip(notice.crashes, notice.n_suspects, strict=False):
        row.crashes[crash] = max(n_suspects, row.crashes.get(crash, 0))
    row.cleared.update(dict.fromkeys(notice.cleared))
    if len(row.crashes) + len(row.cleared) == n_known:
        return []
    note_change(world, row, is_known)
    row.last_crash_s = now_s
    _end_quarantine_if_due(world, row)
    return _quarantine_if_due(world, now_s, row)


def _remove_old(world: World, now_s: float) -> None:
    for row in world.suspects.rows():
        is_over = row.quarantined_until_s <= now_s
        if is_over and now_s - row.last_crash_s > SUSPECT_RETENTION_S:
            world.suspects.remove(row.fingerprint)
    if not world.suspects.rows():
        world.suspects.in_flight_at_crash.clear()
