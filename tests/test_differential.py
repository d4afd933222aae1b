"""Compares optimised code with simple reference versions on the same inputs."""

import ipaddress
from collections import deque

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from conftest import START_S, build_world, single_document
from rhubarbspan.configuration import (
    Configuration,
    add_client_block,
    find_data_centre,
    match_route,
)
from rhubarbspan.document import (
    Document,
    Snapshot,
    apply_changes,
    compare_documents,
)
from rhubarbspan.inputs import RequestArrived, Timer
from rhubarbspan.measure.oracle import Limit, central_bucket
from rhubarbspan.systems import admission, bucketing
from rhubarbspan.systems.bucketing import owned_share
from rhubarbspan.systems.queueing import join_queue, pop_next_request
from rhubarbspan.tables.deadlines import Deadlines
from rhubarbspan.tables.requests import RequestRow
from rhubarbspan.tick import run_tick
from test_requests import KEY

# With derandomize, Hypothesis seeds the examples of a test from the source text of its
# function and decorators: an edit of either makes the test run other examples.
FIXED = settings(max_examples=60, deadline=None, derandomize=True, database=None)
LENGTHS = st.integers(0, 32)
ADDRESSES = st.integers(0, 2**32 - 1)
SECTIONS = st.dictionaries(
    st.sampled_from(["pool a", "pool b", "data_centre x"]),
    st.dictionaries(st.sampled_from(["k", "l"]), st.sampled_from(["1", "2"])),
)


@FIXED
@given(
    blocks=st.lists(st.tuples(ADDRESSES, LENGTHS), max_size=12),
    address=ADDRESSES,
    length=LENGTHS,
)
def test_place_of_block_is_that_of_a_scan(
    blocks: list[tuple[int, int]], address: int, length: int
) -> None:
    configuration = Configuration()
    networks = [ipaddress.ip_network(pair, strict=False) for pair in blocks]
    for number, network in enumerate(networks):
        add_client_block(configuration.blocks, network, f"dc{number}")
    wanted = ipaddress.ip_network((address, length), strict=False)
    best: tuple[int, str] | None = None
    for number, network in enumerate(networks):
        is_inside = wanted.subnet_of(network)  # type: ignore[arg-type]
        if is_inside and (best is None or network.prefixlen > best[0]):
            best = (network.prefixlen, f"dc{number}")
    found = find_data_centre(configuration, str(wanted))
    assert found == (best[1] if best else None)


@FIXED
@given(versions=st.lists(SECTIONS, min_size=1, max_size=6))
def test_changes_lead_to_the_same_document_as_the_whole(
    versions: list[Document],
) -> None:
    snapshot = Snapshot(0, {})
    changes = []
    old: Document = {}
    for number, document in enumerate(versions):
        changes.append(compare_documents(old, document, number + 1, "a", "c"))
        old = document
    found = apply_changes(snapshot, list(reversed(changes)))
    assert found is not None
    assert (found.revision, found.document) == (len(versions), versions[-1])


@FIXED
@given(
    burst=st.integers(1, 50),
    n_seats=st.integers(1, 12),
    rate=st.floats(0.1, 1000.0),
)
def test_home_shares_sum_to_the_whole(burst: int, n_seats: int, rate: float) -> None:
    seats = [f"dc{number % 4}-{number // 4 + 1}" for number in range(n_seats)]
    shares = [owned_share("a", rate, burst, seats, seat) for seat in seats]
    assert sum(share[1] for share in shares) == burst
    assert sum(share[0] for share in shares) == pytest.approx(rate)
    assert all(share[0] == pytest.approx(rate * share[1] / burst) for share in shares)


@FIXED
@given(times_s=st.lists(st.floats(0.0, 5.0), max_size=20), now_s=st.floats(0.0, 5.0))
def test_deadlines_come_due_as_in_a_sorted_list(
    times_s: list[float], now_s: float
) -> None:
    deadlines = Deadlines()
    for number, time_s in enumerate(times_s):
        deadlines.arm(time_s, Timer.REQUEST, str(number))
    due = sorted(
        (time_s, number) for number, time_s in enumerate(times_s) if time_s <= now_s
    )
    assert [d.key for d in deadlines.pop_due(now_s)] == [str(n) for _, n in due]


@settings(max_examples=25, deadline=None, derandomize=True, database=None)
@given(gaps_s=st.lists(st.floats(0.0, 0.3), min_size=1, max_size=60))
def test_a_lone_instance_admits_as_one_central_bucket(gaps_s: list[float]) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(admission, "MAX_WAIT_S", 0.0)
        patch.setattr(bucketing, "MAX_CLOCK_DRIFT", 0.0)
        document = single_document()
        document["pool shop"]["max_queued"] = "1000"
        world = build_world(document)
        now_s = START_S + 20.0
        arrivals_s = []
        admitted = []
        for number, gap_s in enumerate(gaps_s):
            now_s += gap_s
            before = world.counters["admitted", "ana"]
            run_tick(world, now_s, [RequestArrived(number, "/look", KEY)])
            arrivals_s.append(now_s)
            admitted.append(world.counters["admitted", "ana"] > before)
        assert admitted == central_bucket(Limit(10.0, 20), arrivals_s)


@FIXED
@given(accounts=st.lists(st.sampled_from(["a", "b", "c"]), max_size=20))
def test_queue_serves_accounts_in_turn(accounts: list[str]) -> None:
    world = build_world(single_document())
    route = match_route(world.configuration, "/look")
    assert route is not None
    lanes: dict[str, deque[int]] = {}
    for number, account in enumerate(accounts):
        arrived = RequestArrived(number, "/look")
        row = RequestRow(number, arrived, route, account, "", 0.0, 9.0)
        world.requests.add(row)
        join_queue(world, 0.0, row)
        lanes.setdefault(account, deque()).append(number)
    expected = []
    while lanes:
        for account in list(lanes):
            expected.append(lanes[account].popleft())
            if not lanes[account]:
                del lanes[account]
    queue = world.queues.queue_of(route.pool)
    served = []
    while (row_or_none := pop_next_request(world, queue)) is not None:
        served.append(row_or_none.request_id)
    assert served == expected
