"""Tests of look-up answers, spilling to other regions, shifts and links."""

import random
from collections import Counter
from collections.abc import Callable

import pytest

from conftest import load_example
from rhubarbspan.checking import check_document
from rhubarbspan.document import Document
from rhubarbspan.edits import Edit, StartDrain, StartShift, apply_edit
from rhubarbspan.inputs import RequestArrived
from rhubarbspan.measure.workload import PROFILES, make_delay_function
from rhubarbspan.standins.virtual_fleet import VirtualFleet, start_fleet
from rhubarbspan.systems.shifting import link_share_bytes_per_s
from rhubarbspan.systems.steering import SPILL_RAMP_PER_S
from rhubarbspan.verdict import Answered, Failure, NotRun

POOL = "catalogo"
PATH = "/catalogo/public"
CAP_PER_S = 20.0


@pytest.fixture
def fleet() -> VirtualFleet:
    """Start Parrilla's fleet."""
    document = load_example("parrilla")
    profile = PROFILES["parrilla"]
    return start_fleet(
        document, 3, profile.n_servers, make_delay_function(profile, document)
    )


def change(fleet: VirtualFleet, edit: Edit) -> None:
    """Apply an edit to the configuration and publish it."""
    document = apply_edit(fleet.document, edit)
    assert not isinstance(document, Failure)
    fleet.publish(document)


def load(
    fleet: VirtualFleet, seats: list[str], per_s: float, duration_s: float
) -> None:
    """Send look-ups that take 0.12 s on average."""
    rng = random.Random(5)

    def send(service_s: float) -> Callable[[], None]:
        seat = rng.choice(seats)
        return lambda: fleet.send(seat, RequestArrived(0, PATH), "", service_s) and None

    when_s = rng.expovariate(per_s)
    while when_s < duration_s:
        fleet.schedule(when_s, send(rng.expovariate(1 / 0.12)))
        when_s += rng.expovariate(per_s)


def region_of(document: Document, seat: str) -> str:
    """Return the region of a seat."""
    return document[f"data_centre {seat.rpartition('-')[0]}"]["region"]


def weights(fleet: VirtualFleet, seat: str, region: str) -> dict[str, float]:
    """Return the total weight of each region in the answer for a region."""
    answer = fleet.hosts[seat].world.answers.answers[POOL, region]
    total: Counter[str] = Counter()
    for target in answer.targets:
        total[region_of(fleet.document, target.seat)] += target.weight
    return dict(total)


def test_idle_fleet_answers_with_local_instances_first(fleet: VirtualFleet) -> None:
    for seat in fleet.hosts:
        found = weights(fleet, seat, "sur")
        assert found["sur"] == pytest.approx(1.0, abs=0.01)
        answer = fleet.hosts[seat].world.answers.answers[POOL, "sur"]
        assert {t.seat for t in answer.targets[:2]} == {"sur-a-1", "sur-b-1"}
        assert len(answer.targets) == len(fleet.hosts)


def test_excess_moves_to_other_regions_by_a_ramp(fleet: VirtualFleet) -> None:
    load(fleet, ["sur-a-1", "sur-b-1"], 320.0, 16.0)
    before = weights(fleet, "norte-a-1", "sur")["sur"]
    for _ in range(10):
        fleet.run_for(1.0)
        after = weights(fleet, "norte-a-1", "sur")["sur"]
        assert before - after <= 2 * SPILL_RAMP_PER_S + 0.02
        before = after
    assert before < 0.95


def test_no_region_exceeds_its_slots_when_all_spill_into_one(
    fleet: VirtualFleet,
) -> None:
    busy = [s for s in fleet.hosts if region_of(fleet.document, s) != "norte"]
    load(fleet, busy, 620.0, 12.0)
    fleet.run_for(20.0)
    assert all(row.max_used <= row.n_slots for row in fleet.servers.rows.values())
    n_spilled = sum(
        host.world.counters["sent_to_other_region", POOL]
        for host in fleet.hosts.values()
    )
    assert n_spilled > 100
    n_attempts = sum(
        host.world.counters["attempts", POOL] for host in fleet.hosts.values()
    )
    n_answered = sum(
        isinstance(outcome.verdict, Answered) for outcome in fleet.outcomes
    )
    assert n_attempts == n_answered
    verdicts = [outcome.verdict for outcome in fleet.outcomes]
    assert all(isinstance(verdict, Answered | NotRun) for verdict in verdicts)


def test_lost_region_is_left_out_of_answers(fleet: VirtualFleet) -> None:
    for seat, host in fleet.hosts.items():
        host.is_stopped = seat.startswith("sur")
    fleet.run_for(3.0)
    found = weights(fleet, "norte-a-1", "sur")
    assert "sur" not in found
    assert sum(found.values()) == pytest.approx(1.0, abs=0.01)


@pytest.mark.parametrize(
    "drain", [StartDrain("instance", "sur-a-1"), StartDrain("data_centre", "sur-a")]
)
def test_drained_instance_is_left_out_of_answers(
    fleet: VirtualFleet, drain: StartDrain
) -> None:
    change(fleet, drain)
    fleet.run_for(3.0)
    for seat in fleet.hosts:
        answer = fleet.hosts[seat].world.answers.answers[POOL, "sur"]
        assert "sur-a-1" not in {target.seat for target in answer.targets}


def test_shift_stays_under_its_cap_in_any_second(fleet: VirtualFleet) -> None:
    shift = StartShift("move", POOL, "centro", "sur", CAP_PER_S, 5.0, 1.0)
    change(fleet, shift)
    load(fleet, ["centro-a-1", "centro-a-2", "centro-b-1"], 120.0, 14.0)
    counts = [0]
    for _ in range(280):
        fleet.run_for(0.05)
        counts.append(
            sum(h.world.counters["shifted", "move"] for h in fleet.hosts.values())
        )
    in_a_second = [b - a for a, b in zip(counts, counts[20:], strict=False)]
    assert max(in_a_second) <= CAP_PER_S
    assert counts[-1] > 100
    starts = sum(
        len(row.starts_s) for row in fleet.servers.rows.values() if row.region == "sur"
    )
    assert starts > 0


def test_shares_of_a_link_sum_to_less_than_its_cap(fleet: VirtualFleet) -> None:
    configuration, _ = check_document(fleet.document)
    for link in configuration.links.values():
        shares = [
            link_share_bytes_per_s(host.world, link.name)
            for host in fleet.hosts.values()
            if host.world.identity.region in link.regions
        ]
        assert 0 < sum(shares) * 8 <= link.cap_mbit_per_s * 1_000_000
