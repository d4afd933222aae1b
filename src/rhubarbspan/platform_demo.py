"""Runs seven instances of the platform's daemon under traffic, with stand-ins.

All run on loopback. A key is withdrawn, a backend server is drained, a data centre is
evacuated, the store stops responding for a while and an instance is stopped. The
verdicts that callers received are then compared with the requests that servers ran.
"""

import asyncio
from argparse import Namespace
from collections import Counter
from dataclasses import dataclass, field

from .console import print_error, print_line
from .demo import DemoRecord, SentOrder, check_orders, report_result
from .standins.caller import CallResult
from .standins.platform_caller import PlatformCaller
from .standins.platform_deployment import PlatformDeployment
from .standins.platform_store import Mode
from .verdict import Failure

REGIONS_BY_DATA_CENTRE = {
    "centro-a": "centro",
    "centro-b": "centro",
    "sur-a": "sur",
    "sur-b": "sur",
    "norte-a": "norte",
    "norte-b": "norte",
}
N_SERVERS_PER_DATA_CENTRE = 3
SERVICE_S = 0.03
CALL_INTERVAL_S = 0.04
ORDER_INTERVAL_S = 0.3
UPLOAD_INTERVAL_S = 0.8
UPLOAD_BYTES = 1_500_000
LOOKUP_INTERVAL_S = 2.0
READY_TIMEOUT_S = 10.0
WARM_UP_S = 2.0
STORE_SILENT_S = 1.5
# Time limits within which each change must take effect in the whole deployment.
KEY_WITHDRAWN_WITHIN_S = 5.0
DRAINED_WITHIN_S = 2.5
EVACUATED_WITHIN_S = 5.0
# Time during which drained or evacuated servers must start no request.
OBSERVATION_S = 1.0
# Time limit of a graceful stop.
STOPPED_WITHIN_S = 6.0
SUMMARY = (
    "shown: under traffic a key was withdrawn, a server drained, a data centre"
    " evacuated, the store silent and an instance stopped; no request was cut off and"
    " no order or upload ran twice"
)
WITHDRAWN_KEY = "secret-leaver"


@dataclass(slots=True)
class Traffic:
    """The callers of the demo and the results of their calls.

    Attributes:
        n_requests: Number of request ids issued.
    """

    deployment: PlatformDeployment
    record: DemoRecord = field(default_factory=DemoRecord)
    stop: asyncio.Event = field(default_factory=asyncio.Event)
    n_requests: int = 0

    def next_request_id(self) -> str:
        """Return a new request id."""
        self.n_requests += 1
        return f"r-{self.n_requests}"


async def run_platform_demo(arguments: Namespace) -> int:
    """Run the demo; return its exit status, nonzero if a guarantee was violated."""
    deployment = PlatformDeployment(data_centres=dict(REGIONS_BY_DATA_CENTRE))
    traffic = Traffic(deployment)
    record = traffic.record
    print_line("starting seven instances and stand-ins of the platform's services")
    await deployment.start_store()
    deployment.grant("leaver", WITHDRAWN_KEY)
    try:
        if not await _start(deployment):
            record.broken_promises.append("the deployment did not become ready")
        else:
            await _run_traffic(traffic)
            check_orders(record, _count_runs(deployment))
    finally:
        await deployment.stop()
    return report_result(record, SUMMARY)


async def _start(deployment: PlatformDeployment) -> bool:
    """Start servers and instances, two instances in the first data centre."""
    for data_centre in REGIONS_BY_DATA_CENTRE:
        for _ in range(N_SERVERS_PER_DATA_CENTRE):
            server = await deployment.add_server(data_centre)
            server.service_s = SERVICE_S
    for number, data_centre in enumerate(
        [*REGIONS_BY_DATA_CENTRE, next(iter(REGIONS_BY_DATA_CENTRE))]
    ):
        instance = await deployment.add_instance(
            f"front-{data_centre}-{number}", zone=data_centre
        )
        if isinstance(instance, Failure):
            print_error(instance.reason)
            return False
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not deployment.is_ready():
                await asyncio.sleep(0.05)
    except TimeoutError:
        return False
    return True


async def _run_traffic(traffic: Traffic) -> None:
    tasks = [
        asyncio.create_task(_call_repeatedly(traffic, data_centre, number))
        for number, data_centre in enumerate(REGIONS_BY_DATA_CENTRE)
    ]
    await asyncio.sleep(WARM_UP_S)
    await _withdraw_key(traffic)
    await _drain_server(traffic)
    await _evacuate(traffic)
    await _silence_store(traffic)
    await _stop_instance(traffic)
    traffic.stop.set()
    await asyncio.gather(*tasks)


def _make_caller(traffic: Traffic, data_centre: str) -> PlatformCaller:
    directories = traffic.deployment.directories(data_centre)
    return PlatformCaller(directories, REGIONS_BY_DATA_CENTRE[data_centre], data_centre)


async def _call_repeatedly(traffic: Traffic, data_centre: str, number: int) -> None:
    """Send look-ups and requests from one data centre until stopped.

    The requests are for the routes look (idempotent), order and put (uploads).
    """
    caller = _make_caller(traffic, data_centre)
    loop = asyncio.get_running_loop()
    next_lookup_s = 0.0
    next_order_s = loop.time() + number * 0.05
    next_upload_s = loop.time() + number * 0.1
    calls: set[asyncio.Task[None]] = set()
    while not traffic.stop.is_set():
        if loop.time() >= next_lookup_s:
            next_lookup_s = loop.time() + LOOKUP_INTERVAL_S
            await caller.look_up()
        work = [_send_look_request(traffic, caller)]
        if loop.time() >= next_order_s:
            next_order_s += ORDER_INTERVAL_S
            work.append(_send_order(traffic, caller))
        if loop.time() >= next_upload_s:
            next_upload_s += UPLOAD_INTERVAL_S
            work.append(_send_upload(traffic, caller))
        for item in work:
            task = asyncio.create_task(item)
            calls.add(task)
            task.add_done_callback(calls.discard)
        await asyncio.sleep(CALL_INTERVAL_S)
    await asyncio.gather(*calls)


async def _send_look_request(traffic: Traffic, caller: PlatformCaller) -> None:
    """Send a request for the route ``look``; it is not a look-up of servers."""
    request_id = traffic.next_request_id()
    result = await caller.send(request_id, f"/look/{request_id}")
    _record_call(traffic, "look", request_id, result)


async def _send_order(traffic: Traffic, caller: PlatformCaller) -> None:
    request_id = traffic.next_request_id()
    sent_order = SentOrder(request_id, "")
    traffic.record.orders.append(sent_order)
    result = await caller.send(request_id, "/order/x", "POST", b"order")
    sent_order.verdict = result.verdict
    _record_call(traffic, "order", request_id, result)


async def _send_upload(traffic: Traffic, caller: PlatformCaller) -> None:
    request_id = traffic.next_request_id()
    # Uploads are recorded as orders, so that their runs are checked in the same way.
    sent_order = SentOrder(request_id, "")
    traffic.record.orders.append(sent_order)
    body = b"x" * UPLOAD_BYTES
    result = await caller.send(request_id, "/put/x", "POST", body)
    sent_order.verdict = result.verdict
    _record_call(traffic, "put", request_id, result)


def _record_call(
    traffic: Traffic, route: str, request_id: str, result: CallResult
) -> None:
    traffic.record.record_call(route, result)
    if result.verdict == "answered" and f":{request_id}:".encode() not in result.body:
        traffic.record.broken_promises.append(
            f"{request_id}: got the response to another request"
        )


async def _withdraw_key(traffic: Traffic) -> None:
    """Withdraw a key; after the time limit every instance must reject it."""
    traffic.deployment.withdraw("leaver")
    await asyncio.sleep(KEY_WITHDRAWN_WITHIN_S)
    caller = _make_caller(traffic, "centro-a")
    caller.key = WITHDRAWN_KEY
    for instance in traffic.deployment.instances:
        address = instance.settings.listen
        result = await caller.send_to(address, traffic.next_request_id(), "/look/x")
        if result.reason != "bad-key":
            text = (
                f"{instance.settings.name} did not reject a withdrawn key: "
                f"reason {result.reason}"
            )
            traffic.record.broken_promises.append(text)
    print_line("a key was withdrawn")


async def _drain_server(traffic: Traffic) -> None:
    server = traffic.deployment.servers[0]
    traffic.deployment.drain(server)
    await asyncio.sleep(DRAINED_WITHIN_S)
    await _check_no_new_work(traffic, [server.server_id])
    print_line(f"backend server {server.server_id} was drained")


async def _evacuate(traffic: Traffic) -> None:
    """Evacuate a data centre, then end the evacuation.

    During the evacuation its servers must start no request.
    """
    data_centre = "sur-b"
    traffic.deployment.evacuate(data_centre)
    await asyncio.sleep(EVACUATED_WITHIN_S)
    await _check_no_new_work(traffic, traffic.deployment.servers_of(data_centre))
    traffic.deployment.end_evacuation(data_centre)
    print_line(f"data centre {data_centre} was evacuated; the evacuation ended")


async def _check_no_new_work(traffic: Traffic, names: list[str]) -> None:
    servers = [s for s in traffic.deployment.servers if s.server_id in names]
    before = [server.runs.total() for server in servers]
    await asyncio.sleep(OBSERVATION_S)
    if [server.runs.total() for server in servers] != before:
        traffic.record.broken_promises.append(f"{', '.join(names)} got new work")


async def _silence_store(traffic: Traffic) -> None:
    """Make the store unresponsive for less than the time limit of key withdrawals."""
    traffic.deployment.store.mode = Mode.SILENT
    before = Counter(traffic.record.results)
    await asyncio.sleep(STORE_SILENT_S)
    traffic.deployment.store.mode = Mode.SERVING
    during = Counter(traffic.record.results) - before
    n_answered = sum(n for key, n in during.items() if key[1] == "answered")
    print_line(
        f"the store was unresponsive; {n_answered} of {during.total()} requests were "
        "answered"
    )
    if n_answered < 0.9 * during.total():
        traffic.record.broken_promises.append(
            "fewer than 90% of requests were answered while the store was unresponsive"
        )


async def _stop_instance(traffic: Traffic) -> None:
    """Request a graceful stop of an instance; it must finish within the time limit."""
    instance = traffic.deployment.instances.pop()
    instance.request_stop()
    try:
        async with asyncio.timeout(STOPPED_WITHIN_S):
            await instance.run()
    except TimeoutError:
        traffic.record.broken_promises.append("an instance did not stop")
    print_line(f"instance {instance.settings.name} was stopped")


def _count_runs(deployment: PlatformDeployment) -> Counter[str]:
    runs: Counter[str] = Counter()
    for server in deployment.servers:
        runs.update(server.runs)
    return runs
