"""Runs measurements: run DEPLOYMENT SCENARIO, choice DEPLOYMENT, order, table FILES."""

import sys
from pathlib import Path

import msgspec

from ..document import Document
from ..policies import (
    LeastInFlight,
    OwnedSlots,
    Policies,
    PooledShares,
    RandomChoice,
    StaticShares,
    TwoChoices,
    Uncoordinated,
)
from ..report.text import format_table
from ..verdict import Failure
from ..wire.ini import read_document
from .choice import ChoiceFigures, measure_choice
from .order import (
    ORDER_HEADER,
    ORDER_TITLE,
    ORDERS,
    format_order_row,
    measure_order,
)
from .scarcity import ScarcityFigures
from .scenarios import PER_CENT, SCENARIOS, Figures, measure

POLICIES = {
    "rhubarbspan": Policies(PooledShares(), OwnedSlots()),
    "with tickets": Policies(PooledShares(), OwnedSlots(), has_tickets=True),
    "static shares": Policies(StaticShares(), OwnedSlots()),
    "uncoordinated": Policies(Uncoordinated(), OwnedSlots()),
    "random choice": Policies(PooledShares(), RandomChoice()),
}

CHOICE_POLICIES = {
    "rhubarbspan": Policies(choice=OwnedSlots()),
    "random choice": Policies(choice=RandomChoice()),
    "two choices": Policies(choice=TwoChoices()),
    "least in flight": Policies(choice=LeastInFlight()),
}
OUTAGE_POLICIES = ("rhubarbspan", "with tickets", "static shares")


def _load_document(deployment: str) -> Document:
    path = Path("examples") / f"{deployment}.ini"
    document = read_document(path.read_text(encoding="utf-8"), str(path))
    if isinstance(document, Failure):
        raise SystemExit(document.reason)
    return document


def run(deployment: str, scenario: str) -> None:
    """Measure one scenario under its policies and print one JSON line for each."""
    document = _load_document(deployment)
    for policy, policies in POLICIES.items():
        if scenario == "store_down" and policy not in OUTAGE_POLICIES:
            continue
        if scenario != "store_down" and policies.has_tickets:
            continue
        figures = measure(deployment, document, scenario, policy, policies)
        sys.stdout.write(msgspec.json.encode(figures).decode() + "\n")


def run_choice(deployment: str) -> None:
    """Measure the choice of servers and print one JSON line for each policy."""
    document = _load_document(deployment)
    for policy, policies in CHOICE_POLICIES.items():
        figures = measure_choice(deployment, document, policy, policies)
        sys.stdout.write(msgspec.json.encode(figures).decode() + "\n")


def print_table(files: list[str]) -> None:
    """Print the figures of several runs as one table for each deployment."""
    for deployment in ("parrilla", "tamarind"):
        rows = []
        for scenario in SCENARIOS:
            for name in files:
                if Path(name).stem == f"{deployment}-{scenario}":
                    lines = Path(name).read_text(encoding="utf-8").splitlines()
                    decoded = [msgspec.json.decode(s, type=Figures) for s in lines]
                    rows += [_format_row(figures) for figures in decoded]
        header = [
            "scenario, policy",
            "requests",
            "added p50 ms",
            "added p99 ms",
            "quiet p99 ms",
            "headroom %",
            "worst served %",
            "refused inside %",
            "over-admission",
            "drain s",
            "not run",
            "may have run",
            "run twice",
        ]
        sys.stdout.write(f"\n{deployment}\n\n{format_table(header, rows)}\n")
        _print_choice_table(deployment, files)
    _print_order_table(files)


def run_order() -> None:
    """Measure the orders of waiting requests and print one JSON line for each."""
    for order in ORDERS:
        figures = measure_order(order)
        sys.stdout.write(msgspec.json.encode(figures).decode() + "\n")


def _print_order_table(files: list[str]) -> None:
    rows = []
    for name in files:
        if Path(name).stem == "scarcity-order":
            for line in Path(name).read_text(encoding="utf-8").splitlines():
                figures = msgspec.json.decode(line, type=ScarcityFigures)
                rows += [format_order_row(figures, group) for group in figures.groups]
    if rows:
        sys.stdout.write(f"\n{ORDER_TITLE}\n\n{format_table(ORDER_HEADER, rows)}\n")


def _print_choice_table(deployment: str, files: list[str]) -> None:
    rows = []
    for name in files:
        if Path(name).stem == f"{deployment}-choice":
            for line in Path(name).read_text(encoding="utf-8").splitlines():
                figures = msgspec.json.decode(line, type=ChoiceFigures)
                rows.append(
                    [
                        f"{figures.policy}, 80% of slots",
                        str(figures.n_requests),
                        str(figures.n_refused),
                        f"{figures.p99_s * 1e3:.0f}",
                        f"{figures.ideal_p99_s * 1e3:.0f}",
                        f"{figures.ratio:.2f}",
                    ]
                )
    header = ["server choice", "requests", "refused", "p99 ms", "ideal ms", "ratio"]
    sys.stdout.write(f"\n{format_table(header, rows)}\n")


def _format_row(figures: Figures) -> list[str]:
    return [
        f"{figures.scenario}, {figures.policy}",
        str(figures.n_requests),
        f"{figures.added_p50_ms:.1f}",
        f"{figures.added_p99_ms:.1f}",
        f"{figures.quiet_p99_ms:.0f}",
        f"{figures.headroom * PER_CENT:.0f}",
        f"{figures.worst_served * PER_CENT:.2f}",
        f"{figures.refused_inside * PER_CENT:.3f}",
        f"{figures.over_admission:.2f}",
        f"{figures.drain_s:.1f}" if figures.drain_s >= 0 else "-",
        str(figures.n_not_run),
        str(figures.n_may_have_run),
        str(figures.n_run_twice),
    ]


if __name__ == "__main__":
    match sys.argv[1:]:
        case ["run", deployment, scenario]:
            run(deployment, scenario)
        case ["choice", deployment]:
            run_choice(deployment)
        case ["order"]:
            run_order()
        case ["table", *files]:
            print_table(files)
        case _:
            raise SystemExit(__doc__)
