"""Runs a whole deployment under traffic, withdraws a key and drains a server.

An instance is stopped as well, and what callers and servers saw is checked.
"""

import asyncio
import sys
from argparse import Namespace
from collections import Counter
from dataclasses import dataclass, field

from .configuration import Configuration, RouteKind
from .console import (
    EXIT_FAILURE,
    EXIT_SUCCESS,
    EXIT_USAGE,
    load_document,
    print_error,
    print_line,
)
from .document import Document
from .edits import Edit, StartDrain, WithdrawKey, apply_edit
from .publishing import Applied, read_stored
from .report.text import format_table
from .standins.caller import CallerStandIn, CallResult
from .standins.deployment import Deployment
from .standins.store import StoreStandIn
from .verdict import Failure
from .wire.http import hash_key

DEFAULT_CONFIGURATION = "examples/parrilla.ini"
EXAMPLE_KEY = "example-key-{}"
TRAFFIC_S = 14.0
EVENT_INTERVAL_S = 4.0
IN_FORCE_WITHIN_S = 2.0
DRAINED_WITHIN_S = 3.0
LOOKUP_INTERVAL_S = 0.05
ORDER_INTERVAL_S = 0.4
UPLOAD_INTERVAL_S = 1.0
UPLOAD_BYTES = 5_000_000
SUMMARY = (
    "shown: under traffic a key was withdrawn, a backend server drained and an instance"
    " stopped; orders ran at most once, no request was cut off, no key was forwarded"
)
P50 = 0.5
P99 = 0.99


@dataclass(slots=True)
class SentOrder:
    """An order that a caller sent, and the verdict of its last attempt."""

    key: str
    verdict: str


@dataclass(slots=True)
class DemoRecord:
    """Results of the calls of the demo, and the promises that were broken.

    Attributes:
        results: Number of calls by route, verdict and reason.
        latencies_s: Latencies of answered calls, by route.
        orders: Orders sent.
        broken_promises: One text for each violation.
    """

    results: Counter[tuple[str, str, str]] = field(default_factory=Counter)
    latencies_s: dict[str, list[float]] = field(default_factory=dict)
    orders: list[SentOrder] = field(default_factory=list)
    admitted: dict[str, list[float]] = field(default_factory=dict)
    broken_promises: list[str] = field(default_factory=list)

    def record_call(self, route: str, result: CallResult) -> None:
        """Record the result of a call."""
        self.results[route, result.verdict, result.reason] += 1
        if result.verdict == "answered":
            self.latencies_s.setdefault(route, []).append(result.latency_s)


@dataclass(slots=True)
class RouteNames:
    """The routes that the demo uses."""

    lookup: str
    order: str
    upload: str


async def run_demo(arguments: Namespace) -> int:
    """Run the demo and return its exit status, a failure if a promise was broken."""
    path = arguments.config or DEFAULT_CONFIGURATION
    loaded = load_document(path)
    if isinstance(loaded, Failure):
        print_error(loaded.reason)
        return EXIT_USAGE
    deployment = Deployment(loaded[0], n_servers=2)
    print_line("starting the deployment on loopback; this takes about 5 seconds")
    await deployment.start()
    record = DemoRecord()
    try:
        if not await deployment.wait_ready():
            record.broken_promises.append("the deployment did not get ready")
        else:
            await _run_traffic(deployment, record)
            check_orders(record, _count_runs(deployment))
            _check_no_key_forwarded(deployment, record)
    finally:
        await deployment.stop()
    return report_result(record, SUMMARY)


def _pick_routes(configuration: Configuration) -> RouteNames:
    by_kind = {
        kind: next(
            r.name
            for r in configuration.routes.values()
            if r.kind is kind and not r.is_open
        )
        for kind in RouteKind
    }
    return RouteNames(
        by_kind[RouteKind.IDEMPOTENT],
        by_kind[RouteKind.AT_MOST_ONCE],
        by_kind[RouteKind.NON_IDEMPOTENT],
    )


async def _run_traffic(deployment: Deployment, record: DemoRecord) -> None:
    configuration = deployment.configuration
    routes = _pick_routes(configuration)
    accounts = list(configuration.client_accounts)
    stop = asyncio.Event()
    tasks = [
        asyncio.create_task(
            _call_repeatedly(deployment, record, routes, account, number, stop)
        )
        for number, account in enumerate(accounts)
    ]
    await asyncio.sleep(EVENT_INTERVAL_S)
    await _withdraw(deployment, record, routes, accounts[-1])
    await _drain_server(deployment, record, routes)
    await _drain_instance(deployment, record)
    await asyncio.sleep(max(0.0, TRAFFIC_S - 3 * EVENT_INTERVAL_S))
    stop.set()
    await asyncio.gather(*tasks)


async def _call_repeatedly(
    deployment: Deployment,
    record: DemoRecord,
    routes: RouteNames,
    account: str,
    number: int,
    stop: asyncio.Event,
) -> None:
    """Send look-ups, orders and uploads of one client account until stopped."""
    limit = deployment.configuration.client_accounts[account]
    interval_s = max(LOOKUP_INTERVAL_S, 2.0 / limit.rate_per_s)
    key = EXAMPLE_KEY.format(account)
    loop = asyncio.get_running_loop()
    next_order_s = loop.time()
    next_upload_s = loop.time() + number * 0.1
    calls: set[asyncio.Task[None]] = set()
    async with CallerStandIn(deployment.entries(), key, seed=number) as caller:
        while not stop.is_set():
            work = [_send_lookup(deployment, record, caller, routes.lookup)]
            if loop.time() >= next_order_s:
                next_order_s += max(ORDER_INTERVAL_S, 4 * interval_s)
                work.append(_send_order(deployment, record, caller, routes.order))
            if number < 2 and loop.time() >= next_upload_s:
                next_upload_s += UPLOAD_INTERVAL_S
                work.append(_send_upload(deployment, record, caller, routes.upload))
            for item in work:
                task = asyncio.create_task(item)
                calls.add(task)
                task.add_done_callback(calls.discard)
            await asyncio.sleep(interval_s)
        await asyncio.gather(*calls)


async def _send_lookup(
    deployment: Deployment, record: DemoRecord, caller: CallerStandIn, route: str
) -> None:
    prefix = deployment.configuration.routes[route].path_prefix
    path = f"{prefix}/{caller.rng.randrange(1_000_000)}"
    result = await caller.call(route, path)
    record.record_call(route, result)
    if result.verdict == "answered" and f" GET {path} ".encode() not in result.body:
        record.broken_promises.append(f"{path}: got the response to another request")


async def _send_order(
    deployment: Deployment, record: DemoRecord, caller: CallerStandIn, route: str
) -> None:
    path = deployment.configuration.routes[route].path_prefix
    key = f"order-{caller.seed}-{len(record.orders)}"
    sent_order = SentOrder(key, "")
    record.orders.append(sent_order)
    result = await caller.call(route, path, "POST", b"order", key)
    sent_order.verdict = result.verdict
    record.record_call(route, result)


async def _send_upload(
    deployment: Deployment, record: DemoRecord, caller: CallerStandIn, route: str
) -> None:
    path = deployment.configuration.routes[route].path_prefix
    result = await caller.call(route, path, "POST", b"x" * UPLOAD_BYTES, n_resends=0)
    record.record_call(route, result)
    if result.verdict == "answered" and str(UPLOAD_BYTES).encode() not in result.body:
        record.broken_promises.append("an upload was incomplete at the server")


async def _apply_edit(deployment: Deployment, edit: Edit) -> int:
    assert deployment.client is not None
    stored = await read_stored(deployment.client)
    assert not isinstance(stored, Failure)
    document: Document | Failure = apply_edit(stored.snapshot.document, edit)
    assert not isinstance(document, Failure)
    result = await deployment.apply(document, stored.head.revision)
    assert isinstance(result, Applied)
    return result.revision


async def _withdraw(
    deployment: Deployment, record: DemoRecord, routes: RouteNames, account: str
) -> None:
    """Withdraw a key under traffic; 2 s later every instance must reject it."""
    key = EXAMPLE_KEY.format(account)
    revision = await _apply_edit(deployment, WithdrawKey(account, hash_key(key)))
    await asyncio.sleep(IN_FORCE_WITHIN_S)
    print_line(f"key of {account} withdrawn in revision {revision}")
    path = deployment.configuration.routes[routes.lookup].path_prefix
    async with CallerStandIn(deployment.entries(), key) as caller:
        for entry in deployment.entries():
            result = await caller.send(entry, path)
            if result.reason != "bad-key":
                text = f"{entry} took a withdrawn key: {result.verdict} {result.reason}"
                record.broken_promises.append(text)


async def _drain_server(
    deployment: Deployment, record: DemoRecord, routes: RouteNames
) -> None:
    """Drain a backend server; 3 s later it must start no new request."""
    pool = deployment.configuration.routes[routes.lookup].pool
    name = next(name for name in deployment.backends if name.startswith(pool))
    backend = deployment.backends[name]
    revision = await _apply_edit(deployment, StartDrain("backend_server", name))
    print_line(f"backend server {name} drained in revision {revision}")
    await asyncio.sleep(DRAINED_WITHIN_S)
    n_started = backend.n_started
    await asyncio.sleep(1.0)
    if backend.n_started != n_started:
        record.broken_promises.append(f"{name} got new work after its drain")


async def _drain_instance(deployment: Deployment, record: DemoRecord) -> None:
    """Stop an instance under traffic; it must complete its requests and end."""
    seat, daemon = next(iter(deployment.daemons.items()))
    print_line(f"instance {seat} asked to stop")
    daemon.request_stop()
    try:
        async with asyncio.timeout(EVENT_INTERVAL_S + DRAINED_WITHIN_S):
            await daemon.run()
    except TimeoutError:
        record.broken_promises.append(f"instance {seat} did not stop")
    deployment.daemons.pop(seat)


def check_orders(record: DemoRecord, runs: Counter[str]) -> None:
    """Compare the verdicts that callers got with what servers ran.

    Args:
        record: Verdicts that callers got; broken promises are added to it.
        runs: Number of times that servers ran each order, by its key.
    """
    for order in record.orders:
        n_runs = runs[order.key]
        if n_runs > 1:
            record.broken_promises.append(f"{order.key} ran {n_runs} times")
        if order.verdict == "answered" and n_runs != 1:
            record.broken_promises.append(
                f"{order.key} was answered and ran {n_runs} times"
            )
        if order.verdict == "not-run" and n_runs:
            record.broken_promises.append(
                f"{order.key} ran, although its caller was told not-run"
            )
    for (route, verdict, reason), n in record.results.items():
        if verdict == "lost":
            record.broken_promises.append(
                f"{n} requests of {route} were cut off: {reason}"
            )


def report_result(record: DemoRecord, summary: str) -> int:
    """Print the results and return the exit status.

    Args:
        record: The verdicts and the broken promises.
        summary: What the run shows if no promise was broken, in one line.
    """
    print_line(_format(record))
    for text in record.broken_promises:
        print_error(f"broken: {text}")
    if not record.broken_promises:
        print_line(summary)
    print_line("all promises held" if not record.broken_promises else "a promise broke")
    return EXIT_FAILURE if record.broken_promises else EXIT_SUCCESS


def _count_runs(deployment: Deployment) -> Counter[str]:
    runs: Counter[str] = Counter()
    for backend in deployment.backends.values():
        runs.update(backend.runs)
    return runs


def _check_no_key_forwarded(deployment: Deployment, record: DemoRecord) -> None:
    for backend in deployment.backends.values():
        if "authorization" in backend.seen_headers:
            record.broken_promises.append(f"{backend.name} received a caller's key")


def _format(record: DemoRecord) -> str:
    header = ["route", "verdict", "reason", "requests", "p50_ms", "p99_ms"]
    rows = []
    for (route, verdict, reason), n in sorted(record.results.items()):
        is_answered = verdict == "answered"
        latencies = sorted(record.latencies_s.get(route, [])) if is_answered else []
        shown = [_quantile_ms(latencies, q) for q in (P50, P99)]
        rows.append([route, verdict, reason or "-", str(n), *shown])
    return format_table(header, rows)


def _quantile_ms(ordered: list[float], quantile: float) -> str:
    if not ordered:
        return "-"
    return f"{ordered[min(len(ordered) - 1, int(len(ordered) * quantile))] * 1e3:.1f}"


async def run_standin(arguments: Namespace) -> int:
    """Run the stand-ins of the store and of the backend servers until interrupted."""
    loaded = load_document(arguments.config)
    if isinstance(loaded, Failure):
        print_error(loaded.reason)
        return EXIT_USAGE
    host, _, port = arguments.listen.rpartition(":")
    deployment = Deployment(loaded[0], store=StoreStandIn())
    try:
        await deployment.start(host, int(port), seats=[])
    except OSError as error:
        print_error(f"cannot listen on {arguments.listen}: {error.strerror}")
        return EXIT_FAILURE
    print_line(
        f"store on {deployment.store.address}, {len(deployment.backends)} servers"
    )
    sys.stdout.flush()
    try:
        await asyncio.Event().wait()
    finally:
        await deployment.stop()
    return EXIT_SUCCESS
