"""Limits of accounts over a fleet that is overloaded while instances and links fail.

An account would get more than its limit if two instances refilled the same share, or
if lent tokens counted twice. Deliberate faults show that the tests detect this.
"""

import random
from collections.abc import Callable

import pytest

from mutants import MUTANTS, Mutant
from rhubarbspan.inputs import PeerMessageReceived, RequestArrived
from rhubarbspan.measure.oracle import Limit, over_admission
from rhubarbspan.peer_messages import (
    DelegatedShare,
    DelegationGrant,
    DelegationReturn,
    ReturnedShare,
)
from rhubarbspan.standins.virtual_fleet import MessageFaults, VirtualFleet, start_fleet
from rhubarbspan.tables.buckets import BucketRow, ShareRow
from rhubarbspan.world import World
from test_fuzz import ACCOUNTS, REGIONS, SEATS, small_document

FLOOD_S = 24.0
EVENT_S = 0.7
REQUEST_S = 0.008
PERIOD_S = 1.7
ON_S = 0.9
ALL_EVENTS = (0, 1, 2, 3, 4)
CUTS = (1,)
LOW_RATE_S = 6.0
LOW_RATE_PER_S = 8.0
N_BURST = 60


def delay_s(sender: str, receiver: str) -> float:
    """Return the one-way delay between two data centres, in seconds."""
    return 0.001 if sender == receiver else 0.02


def flood(fleet: VirtualFleet, seats: tuple[str, ...], account: str) -> None:
    """Send bursts far above the account's rate to all seats, with pauses between."""
    key_hash = fleet.document[f"client_account {account}"]["key_hashes"]

    def send(seat: str) -> Callable[[], None]:
        arrived = RequestArrived(0, "/look", key_hash)
        return lambda: fleet.send(seat, arrived, account, 0.01) and None

    for number in range(int(FLOOD_S / REQUEST_S)):
        when_s = number * REQUEST_S
        if when_s % PERIOD_S < ON_S:
            fleet.schedule(when_s, send(seats[number % len(seats)]))


def run_with_faults(seed: int, events: tuple[int, ...] = ALL_EVENTS) -> float:
    """Flood a fleet during random faults; return the worst over-admission."""
    fleet = start_fleet(small_document(), seed, {"shop": 6}, delay_s)
    rng = random.Random(seed)
    for account in ACCOUNTS:
        flood(fleet, SEATS, account)
    for _ in range(int(FLOOD_S / EVENT_S)):
        fleet.run_for(EVENT_S)
        seat = rng.choice(SEATS)
        match rng.choice(events):
            case 0:
                fleet.replace_host(seat)
            case 1:
                fleet.cut_regions = set(rng.sample(REGIONS, rng.randrange(2)))
            case 2:
                host = fleet.hosts[seat]
                host.is_paused = True
                fleet.schedule(rng.uniform(0.1, 5.0), lambda h=host: fleet.resume(h))
            case 3:
                fleet.message_faults = MessageFaults(0.1, 0.1, rng.choice([0.0, 0.2]))
            case _:
                fleet.message_faults = MessageFaults()
    fleet.run_for(6.0)
    worst = 0.0
    for name, (rate, burst) in ACCOUNTS.items():
        admitted_s = fleet.admitted_s.get(name, [])
        assert len(admitted_s) > rate * FLOOD_S * 0.1
        worst = max(worst, over_admission(Limit(rate, burst), admitted_s))
    return worst


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("events", [ALL_EVENTS, CUTS], ids=["all", "cuts"])
def test_no_account_gets_more_than_its_limit_on_a_hard_day(
    seed: int, events: tuple[int, ...]
) -> None:
    assert run_with_faults(seed, events) == 0.0


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_checks_catch_deliberate_faults(
    mutant: Mutant, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(mutant.module, mutant.attribute, mutant.value)
    runs = (run_burst, run_with_cuts)
    assert any(run(seed) > 0.0 for seed in (3, 2, 1, 0) for run in runs)


def run_with_cuts(seed: int) -> float:
    """Flood a fleet while regions are cut off; return the worst over-admission."""
    return run_with_faults(seed, CUTS)


def run_burst(seed: int) -> float:
    """Send a low rate, then a burst to all seats; return the over-admission.

    Tokens that a seat borrowed during the low rate must count against the burst.
    """
    fleet = start_fleet(small_document(), seed, {"shop": 6}, delay_s)
    rng = random.Random(seed)
    key_hash = fleet.document["client_account ana"]["key_hashes"]

    def send(seat: str) -> Callable[[], None]:
        arrived = RequestArrived(0, "/look", key_hash)
        return lambda: fleet.send(seat, arrived, "ana", 0.01) and None

    for seat in SEATS:
        for _ in range(int(LOW_RATE_PER_S * LOW_RATE_S)):
            fleet.schedule(rng.uniform(0.0, LOW_RATE_S), send(seat))
        for _ in range(N_BURST):
            fleet.schedule(LOW_RATE_S, send(seat))
    fleet.run_for(LOW_RATE_S + 3.0)
    return over_admission(Limit(*ACCOUNTS["ana"]), fleet.admitted_s["ana"])


@pytest.mark.parametrize("seed", range(4))
def test_borrowed_tokens_count_against_the_burst(seed: int) -> None:
    assert run_burst(seed) == 0.0


# A grant that was requested before the share was returned may arrive after it. The
# instance must not refill the share again, since its owner does so by then.
def test_late_grant_after_a_return_is_void() -> None:
    fleet = start_fleet(small_document(), 1, {"shop": 6}, delay_s)
    holder = next(
        host
        for host in fleet.hosts.values()
        if any(s.delegation_id for s in _bucket(host.world, "ana").shares.values())
    )
    bucket = _bucket(holder.world, "ana")
    share = next(s for s in bucket.shares.values() if s.delegation_id)
    bucket.share_returned_s[share.owner] = holder.local_s(fleet.now_s)
    del bucket.shares[share.owner]
    requested_s = holder.local_s(fleet.now_s) - 0.5
    grant = DelegationGrant(
        share.owner, share.owner_incarnation, 1, requested_s, 3.0, [_to_message(share)]
    )
    fleet._deliver_inputs(holder, [PeerMessageReceived(grant)])
    assert share.owner not in bucket.shares


# A delayed return must not end a newer delegation of the same share: owner and holder
# would both refill it.
def test_return_of_an_older_delegation_is_ignored() -> None:
    fleet = start_fleet(small_document(), 1, {"shop": 6}, delay_s)
    owner = next(h for h in fleet.hosts.values() if _bucket(h.world, "ana").delegated)
    delegated = _bucket(owner.world, "ana").delegated
    assert delegated is not None
    older = ReturnedShare("ana", delegated.delegation_id - 1, 5.0)
    incarnation = delegated.holder_incarnation
    returned = DelegationReturn(delegated.holder, incarnation, [older])
    fleet._deliver_inputs(owner, [PeerMessageReceived(returned)])
    assert _bucket(owner.world, "ana").delegated == delegated


def _bucket(world: World, account: str) -> BucketRow:
    bucket = world.buckets.get(account)
    assert bucket is not None
    return bucket


def _to_message(share: ShareRow) -> DelegatedShare:
    return DelegatedShare(
        "ana", share.rate_per_s, share.burst, share.delegation_id, share.burst
    )


# An account that is removed and added again must not start with a full bucket while
# tokens of its earlier share can still be spent.
def test_an_account_removed_and_put_back_gets_no_second_share() -> None:
    fleet = start_fleet(small_document(), 2, {"shop": 6}, delay_s)
    flood(fleet, SEATS, "ana")
    title = "client_account ana"
    section = fleet.document[title]
    for _ in range(12):
        fleet.run_for(0.9)
        fleet.publish({t: b for t, b in fleet.document.items() if t != title})
        fleet.run_for(0.3)
        fleet.publish({**fleet.document, title: section})
    fleet.run_for(6.0)
    assert over_admission(Limit(*ACCOUNTS["ana"]), fleet.admitted_s["ana"]) == 0.0
