"""At-most-once requests over loopback sockets, while the store or servers fail."""

import asyncio

import aiohttp
import pytest

from edge_site import KEY, Site, n_runs, set_faults
from rhubarbspan.standins.caller import CallerStandIn, CallResult

pytestmark = pytest.mark.xdist_group("edge")


def test_order_sent_again_to_another_instance_runs_once(site: Site) -> None:
    entries = site.deployment.entries()

    async def work() -> list[CallResult]:
        async with CallerStandIn(entries, KEY) as caller:
            sends = [
                caller.send(entry, "/order", "POST", b"o", "twice")
                for entry in entries * 2
            ]
            return list(await asyncio.gather(*sends))

    results = site.run(work())
    assert sorted(result.verdict for result in results) == [
        "answered",
        "may-have-run",
        "may-have-run",
        "may-have-run",
    ]
    assert n_runs(site, "twice") == 1


# The store writes the claim, but the response is lost. The instance must find out that
# the claim is its own instead of taking the order for a duplicate.
def test_order_runs_once_though_the_store_loses_its_answer(site: Site) -> None:
    site.deployment.store.faults.n_lost_responses = 1
    result = site.send("/order", method="POST", body=b"o", idempotency_key="lost")
    assert result.verdict == "answered"
    assert n_runs(site, "lost") == 1


def test_order_with_the_store_down_is_refused_as_not_run(site: Site) -> None:
    site.deployment.store.faults.is_down = True
    result = site.send("/order", method="POST", body=b"o", idempotency_key="down")
    assert (result.verdict, result.reason) == ("not-run", "claim-unknown")
    assert n_runs(site, "down") == 0


def test_order_under_a_ticket_runs_with_the_store_down(site: Site) -> None:
    site.deployment.store.faults.is_down = True
    entry = site.deployment.entries()[0]

    async def work() -> str:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{entry}/-/lookup?route=order&tickets=1") as response,
        ):
            body = await response.json()
            assert body["ticket_address"] == entry
            return str(body["tickets"][0])

    ticket = site.run(work())
    first = site.send("/order", method="POST", body=b"o", idempotency_key=ticket)
    second = site.send("/order", method="POST", body=b"o", idempotency_key=ticket)
    assert (first.verdict, second.verdict) == ("answered", "may-have-run")
    assert n_runs(site, ticket) == 1


def test_lost_order_is_not_repeated_by_any_layer(site: Site) -> None:
    backends = site.deployment.backends.values()
    n_crashes = sum(backend.n_crashes for backend in backends)
    assert site.send("/put/warm").verdict == "answered"
    set_faults(site, crash_on=b"boom")
    result = site.send("/put?boom")
    assert (result.status, result.verdict) == (502, "may-have-run")
    assert sum(backend.n_crashes for backend in backends) == n_crashes + 1
