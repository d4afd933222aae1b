"""The guarantees to callers, with daemons and stand-ins on loopback sockets."""

import asyncio

import aiohttp
import pytest

from edge_site import KEY, LIMITED_KEY, Site, set_faults
from rhubarbspan.standins.caller import CALL_TIMEOUT_S, CallerStandIn, CallResult
from rhubarbspan.wire.http import REASON_HEADER, VERDICT_HEADER

pytestmark = pytest.mark.xdist_group("edge")


def test_backend_servers_never_see_the_key(site: Site) -> None:
    result = site.send("/look/1")
    assert (result.status, result.verdict) == (200, "answered")
    for backend in site.deployment.backends.values():
        assert "authorization" not in backend.seen_headers


@pytest.mark.parametrize(
    ("path", "key", "status", "reason"),
    [
        ("/look", "", 401, "bad-key"),
        ("/look", "wrong", 401, "bad-key"),
        ("/nowhere", KEY, 404, "unknown-route"),
        ("/order", KEY, 400, "idempotency-key-missing"),
    ],
)
def test_bad_requests_get_a_clear_refusal(
    site: Site, path: str, key: str, status: int, reason: str
) -> None:
    entry = site.deployment.entries()[0]

    async def work() -> CallResult:
        async with CallerStandIn([entry], key) as caller:
            return await caller.send(entry, path)

    result = site.run(work())
    assert (result.status, result.verdict) == (status, "not-run")
    assert result.reason == reason


def test_open_route_needs_no_key(site: Site) -> None:
    entry = site.deployment.entries()[0]

    async def work() -> CallResult:
        async with CallerStandIn([entry]) as caller:
            return await caller.send(entry, "/open")

    assert site.run(work()).status == 200


# The server closes the connection in the middle of a short response. The caller must
# get an error with a verdict, never a part of the body with status 200.
def test_short_truncated_answer_becomes_a_refusal(site: Site) -> None:
    set_faults(site, truncate_after=10)
    result = site.send("/put", method="POST", body=b"x")
    assert (result.status, result.verdict) == (502, "may-have-run")
    set_faults(site, truncate_after=-1)
    assert b" GET /look/after " in site.send("/look/after").body


# A long response is passed on while it arrives, so that its status is sent before it
# breaks off. The caller must be able to see that the body is incomplete.
def test_answer_that_breaks_off_late_is_not_passed_on_as_whole(site: Site) -> None:
    daemon = next(iter(site.deployment.daemons.values()))
    truncated = []
    for number in range(3):
        set_faults(site, truncate_after=10)
        truncated.append(site.send(f"/look/{number}?size=300000"))
    assert all(result.verdict != "answered" for result in truncated)
    set_faults(site, truncate_after=-1)
    result = site.send("/look/big?size=300000")
    assert len(result.body) > 300_000
    assert daemon.world.counters["answered", "look"] > 0


# After a timeout the response of the server may still come on a connection that is
# used again. It must not be taken for the response to the next request.
def test_late_answer_does_not_reach_another_request(site: Site) -> None:
    for backend in site.deployment.backends.values():
        backend.service_s = 0.4
    entry = site.deployment.entries()[0]

    async def work() -> tuple[int, str, str]:
        headers = {"Authorization": f"Bearer {KEY}", "X-Timeout-Ms": "100"}
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.get(f"http://{entry}/look/slow") as response,
        ):
            found = response.headers
            return response.status, found[VERDICT_HEADER], found[REASON_HEADER]

    assert site.run(work()) == (504, "may-have-run", "deadline")
    for backend in site.deployment.backends.values():
        backend.service_s = 0.02
    for number in range(6):
        assert f" GET /look/{number} ".encode() in site.send(f"/look/{number}").body


# Callers and instances share an event loop. If it is held up for longer than the
# callers wait for a connection, they give up and nothing is answered.
def test_limit_holds_over_all_instances_together(site: Site) -> None:
    entries = site.deployment.entries()

    async def work() -> tuple[int, float]:
        start_s = site.loop.time()
        async with CallerStandIn(
            entries, LIMITED_KEY, connect_timeout_s=CALL_TIMEOUT_S
        ) as caller:
            sends = [
                caller.send(entries[number % len(entries)], "/look/limited")
                for number in range(200)
            ]
            results = await asyncio.gather(*sends)
        assert {result.verdict for result in results} <= {"answered", "not-run"}
        n_answered = sum(result.verdict == "answered" for result in results)
        return n_answered, site.loop.time() - start_s

    n_answered, elapsed_s = site.run(work())
    assert 0 < n_answered <= 10 + 20 * elapsed_s


def test_upload_is_streamed_whole(site: Site) -> None:
    result = site.send("/put", method="POST", body=b"u" * 20_000_000)
    assert result.status == 200
    assert b" 20000000\n" in result.body


# A caller that disconnects in the middle of its body has sent no whole request, so that
# no server may start to run it.
def test_half_sent_body_runs_nowhere(site: Site) -> None:
    host, _, port = site.deployment.entries()[0].rpartition(":")
    n_started = sum(b.n_started for b in site.deployment.backends.values())

    async def work() -> None:
        _, writer = await asyncio.open_connection(host, int(port))
        head = f"POST /put HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        writer.write(f"{head}Content-Length: 100\r\n\r\nhalf".encode())
        await writer.drain()
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(0.2)

    site.run(work())
    assert n_started == sum(b.n_started for b in site.deployment.backends.values())
    assert site.send("/look").status == 200


def test_oversize_header_is_refused_and_the_daemon_goes_on(site: Site) -> None:
    entry = site.deployment.entries()[0]

    async def work() -> int:
        headers = {"X-Long": "x" * 60_000}
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.get(f"http://{entry}/look") as response,
        ):
            return response.status

    assert site.run(work()) in (400, 431)
    assert site.send("/look").status == 200


def test_work_of_a_caller_that_left_is_cancelled_if_idempotent(site: Site) -> None:
    backends = site.deployment.backends.values()
    for backend in backends:
        backend.service_s = 5.0
    n_cancelled = sum(backend.n_cancelled for backend in backends)
    entry = site.deployment.entries()[0]

    async def work() -> None:
        timeout = aiohttp.ClientTimeout(0.2)
        headers = {"Authorization": f"Bearer {KEY}"}
        async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
            with pytest.raises(TimeoutError):
                await session.get(f"http://{entry}/look/gone")
        await asyncio.sleep(0.5)

    site.run(work())
    assert sum(backend.n_cancelled for backend in backends) == n_cancelled + 1


def test_shed_requests_go_to_another_server(site: Site) -> None:
    backend = site.deployment.backends["shop-x-0"]
    backend.n_foreign = 3
    results = [site.send(f"/look/{number}") for number in range(4)]
    backend.n_foreign = 0
    assert [result.status for result in results] == [200] * 4


def test_streamed_upload_that_is_shed_was_not_run_and_is_not_sent_again(
    site: Site,
) -> None:
    backends = site.deployment.backends.values()
    n_started = sum(backend.n_started for backend in backends)
    n_shed = sum(backend.n_shed for backend in backends)
    for backend in backends:
        backend.n_foreign = 3
    result = site.send("/put", method="POST", body=b"u" * 2_000_000)
    for backend in backends:
        backend.n_foreign = 0
    assert (result.status, result.verdict, result.reason) == (503, "not-run", "shed")
    assert sum(backend.n_started for backend in backends) == n_started
    assert sum(backend.n_shed for backend in backends) == n_shed + 1


def test_metrics_and_status_can_be_read(site: Site) -> None:
    entry = site.deployment.entries()[0]
    assert site.send("/look").status == 200

    async def work() -> tuple[str, dict[str, object]]:
        async with aiohttp.ClientSession() as session:
            async with session.get(f"http://{entry}/metrics") as response:
                text = await response.text()
            async with session.get(f"http://{entry}/-/status") as response:
                return text, await response.json()

    text, status = site.run(work())
    assert "rhubarbspan_answered_total" in text
    assert status["seat"] == "x-1"
