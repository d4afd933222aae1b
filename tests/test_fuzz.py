"""Stateful fuzzing of a fleet; the oracle checks only the documented guarantees."""

import os
from collections import Counter

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from rhubarbspan.document import Document
from rhubarbspan.edits import StartDrain, apply_edit
from rhubarbspan.inputs import RequestArrived
from rhubarbspan.measure.oracle import Limit, over_admission
from rhubarbspan.standins.virtual_fleet import MessageFaults, VirtualFleet, start_fleet
from rhubarbspan.verdict import Answered, Failure, NotRun

N_EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "12"))
N_STEPS = int(os.environ.get("FUZZ_STEPS", "30"))
DRAINED_WITHIN_S = 3.0
ACCOUNTS = {"ana": (40.0, 20), "bo": (3.0, 4)}
REGIONS = ("north", "south", "west")
SEATS = ("north-a-1", "north-a-2", "south-a-1", "west-a-1")


def small_document() -> Document:
    """Make a configuration of three regions, four seats and two accounts."""
    document: Document = {
        "pool shop": {"slots_per_server": "3", "ramp_s": "1"},
        "route look": {"pool": "shop", "path_prefix": "/look", "kind": "idempotent"},
        "route order": {
            "pool": "shop",
            "path_prefix": "/order",
            "kind": "at_most_once",
        },
    }
    for region in REGIONS:
        n_seats = str(sum(seat.startswith(region) for seat in SEATS))
        document[f"data_centre {region}-a"] = {"region": region, "seats": n_seats}
    for name, (rate, burst) in ACCOUNTS.items():
        document[f"client_account {name}"] = {
            "rate_per_s": str(rate),
            "burst": str(burst),
            "key_hashes": name.ljust(64, "0").replace("n", "b").replace("o", "d"),
        }
    return document


# Hypothesis derives the draws from the source text of this class, including its doc
# comments, so that any change of it draws other runs.
class FleetMachine(RuleBasedStateMachine):
    """Drives a fleet through requests, faults and changes."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet: VirtualFleet = start_fleet(
            small_document(),
            7,
            {"shop": 6},
            lambda here, there: 0.001 if here == there else 0.02,
        )
        self.limits = {name: Limit(*limit) for name, limit in ACCOUNTS.items()}
        self.revisions: Counter[tuple[str, int]] = Counter()
        self.drained: dict[str, float] = {}
        self.n_keys = 0

    def _send(self, seat: str, account: str, path: str, key: str) -> None:
        key_hash = small_document()[f"client_account {account}"]["key_hashes"]
        arrived = RequestArrived(0, path, key_hash, key)
        self.fleet.send(seat, arrived, account, 0.05)

    @rule(
        seats=st.sets(st.sampled_from(SEATS), min_size=1, max_size=3),
        account=st.sampled_from(sorted(ACCOUNTS)),
        duration_s=st.sampled_from([0.5, 4.0]),
    )
    def flood(self, seats: set[str], account: str, duration_s: float) -> None:
        """Send look-ups at twice the account's rate in the time to come."""
        n_requests = int(2 * ACCOUNTS[account][0] * duration_s)
        for number in range(n_requests):
            for seat in sorted(seats):
                self.fleet.schedule(
                    number * duration_s / n_requests,
                    lambda seat=seat: self._send(seat, account, "/look", ""),
                )
        self.fleet.run_for(0.0)

    @rule(
        seats=st.lists(st.sampled_from(SEATS), min_size=1, max_size=3),
        gap_s=st.sampled_from([0.0, 0.01, 0.3, 3.0]),
    )
    def order(self, seats: list[str], gap_s: float) -> None:
        """Send an order, and send it again to other instances."""
        self.n_keys += 1
        for seat in seats:
            self._send(seat, "ana", "/order", f"order-{self.n_keys}")
            self.fleet.run_for(gap_s)

    @rule(duration_s=st.sampled_from([0.2, 1.0, 2.5]))
    def wait(self, duration_s: float) -> None:
        """Let time pass."""
        self.fleet.run_for(duration_s)

    @rule(seat=st.sampled_from(SEATS))
    def replace(self, seat: str) -> None:
        """Kill an instance and start another on its seat."""
        self.fleet.replace_host(seat)

    @rule(seat=st.sampled_from(SEATS), duration_s=st.sampled_from([0.4, 2.0, 6.0]))
    def pause(self, seat: str, duration_s: float) -> None:
        """Stop an instance for a while, with its clock going on."""
        host = self.fleet.hosts[seat]
        host.is_paused = True
        self.fleet.schedule(duration_s, lambda: self.fleet.resume(host))

    @rule(regions=st.sets(st.sampled_from(REGIONS), max_size=2))
    def cut(self, regions: set[str]) -> None:
        """Cut regions off, or join them again."""
        self.fleet.cut_regions = regions

    @rule(is_up=st.booleans())
    def switch_store(self, is_up: bool) -> None:
        """Stop or start the store."""
        self.fleet.is_store_up = is_up

    @rule(lost=st.sampled_from([0.0, 0.3]), late=st.sampled_from([0.0, 0.3]))
    def trouble(self, lost: float, late: float) -> None:
        """Lose, repeat and delay messages between instances."""
        self.fleet.message_faults = MessageFaults(lost, late, late)

    @rule(account=st.sampled_from(sorted(ACCOUNTS)), factor=st.sampled_from([0.5, 1.0]))
    def change_rate(self, account: str, factor: float) -> None:
        """Lower the rate of an account, or set it back."""
        title = f"client_account {account}"
        if title not in self.fleet.document:
            return
        rate, burst = ACCOUNTS[account]
        section = dict(self.fleet.document[title])
        section["rate_per_s"] = str(rate * factor)
        section["burst"] = str(max(1, int(burst * factor)))
        self.fleet.publish({**self.fleet.document, title: section})

    @rule(account=st.sampled_from(sorted(ACCOUNTS)), is_there=st.booleans())
    def remove_account(self, account: str, is_there: bool) -> None:
        """Remove an account, or put it back."""
        title = f"client_account {account}"
        document = {t: b for t, b in self.fleet.document.items() if t != title}
        if is_there:
            document[title] = small_document()[title]
        self.fleet.publish(document)

    @rule(n_seats=st.sampled_from(["0", "1", "2"]))
    def change_seats(self, n_seats: str) -> None:
        """Change how many seats share the limits."""
        title = "data_centre west-a"
        section = {**self.fleet.document[title], "seats": n_seats}
        self.fleet.publish({**self.fleet.document, title: section})

    @rule(number=st.integers(0, 5))
    def drain(self, number: int) -> None:
        """Drain a backend server."""
        server = sorted(self.fleet.servers.rows)[number]
        document = apply_edit(self.fleet.document, StartDrain("backend_server", server))
        assert not isinstance(document, Failure)
        self.fleet.publish(document)

    @rule(number=st.integers(0, 5))
    def crash_server(self, number: int) -> None:
        """Kill a backend server."""
        rows = self.fleet.servers.rows
        self.fleet.servers.crash(rows[sorted(rows)[number]])

    @invariant()
    def no_account_gets_more_than_its_limit(self) -> None:
        """Check rate times length plus burst over all intervals."""
        for name, limit in self.limits.items():
            admitted_s = self.fleet.admitted_s.get(name, [])
            assert over_admission(limit, admitted_s) == 0.0

    @invariant()
    def orders_run_at_most_once_and_refusals_are_true(self) -> None:
        """Compare verdicts with what the servers ran."""
        runs = self.fleet.servers.runs
        assert all(n <= 1 for n in runs.values())
        by_key: dict[str, list[object]] = {}
        for outcome in self.fleet.outcomes:
            if outcome.arrived.idempotency_key:
                key = outcome.arrived.idempotency_key
                by_key.setdefault(key, []).append(outcome.verdict)
        for key, verdicts in by_key.items():
            n_answered = sum(isinstance(verdict, Answered) for verdict in verdicts)
            assert n_answered <= 1
            if all(isinstance(verdict, NotRun) for verdict in verdicts):
                assert runs[key] == 0

    @invariant()
    def revisions_never_go_back(self) -> None:
        """Remember the revision in force on each incarnation."""
        for seat, host in self.fleet.hosts.items():
            key = (seat, host.world.identity.incarnation)
            revision = host.world.configuration.revision
            assert revision >= self.revisions[key]
            self.revisions[key] = revision


def fuzz_settings(n_examples: int) -> settings:
    """Return settings; the seed is fixed unless FUZZ_EXAMPLES is set."""
    return settings(
        max_examples=n_examples,
        stateful_step_count=N_STEPS,
        deadline=None,
        derandomize="FUZZ_EXAMPLES" not in os.environ,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )


def test_fleet_keeps_its_promises_under_faults() -> None:
    run_state_machine_as_test(FleetMachine, settings=fuzz_settings(N_EXAMPLES))
