"""The metrics page, and the limit on the number of latency histograms."""

from conftest import MakeWorld, single_document
from rhubarbspan.inputs import RequestArrived
from rhubarbspan.report.metrics import render_metrics
from rhubarbspan.tables.latencies import (
    BUCKET_BOUNDS_S,
    N_MAX_ROWS,
    OTHER_ROUTE,
    Latencies,
)
from rhubarbspan.tick import run_tick


def test_page_tells_latencies_ages_and_servers(make_world: MakeWorld) -> None:
    world = make_world(single_document())
    # Tick times are in seconds; the request has the id 1.
    run_tick(world, 110.0, [RequestArrived(1, "/open/x")])
    run_tick(world, 116.0, [])
    world.latencies.record("look", "answered", 0.25)
    # 3 is the number of ticks so far, 116.0 the time of the page in seconds.
    page = render_metrics(world, 3, 116.0).decode()
    labels = 'outcome="answered",route="look"'
    assert f'rhubarbspan_request_seconds_bucket{{le="0.2",{labels}}} 0.0' in page
    assert f'rhubarbspan_request_seconds_bucket{{le="0.3",{labels}}} 1.0' in page
    assert f'rhubarbspan_request_seconds_bucket{{le="+Inf",{labels}}} 1.0' in page
    assert f"rhubarbspan_request_seconds_sum{{{labels}}} 0.25" in page
    assert "rhubarbspan_configuration_age_seconds" in page
    assert 'rhubarbspan_backend_servers{pool="shop"' in page


def test_rows_are_bounded_however_many_routes_come_and_go() -> None:
    latencies = Latencies()
    for number in range(3 * N_MAX_ROWS):
        latencies.record(f"r-{number}", "answered", BUCKET_BOUNDS_S[-1] + 1)
    # One histogram more than the limit: routes above it share one per outcome.
    assert len(latencies.rows) <= N_MAX_ROWS + 1
    assert latencies.rows[OTHER_ROUTE, "answered"].n_in_bucket[-1] == 2 * N_MAX_ROWS
