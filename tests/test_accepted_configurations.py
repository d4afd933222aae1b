"""Tests that what the platform has accepted is applied, at least what can be used."""

import asyncio
import json
from collections.abc import Callable

import pytest

from platform_site import PlatformSite
from rhubarbspan.checking import check_document
from rhubarbspan.configuration import Configuration
from rhubarbspan.document_rules import TranslatedRules
from rhubarbspan.inputs import ServerListing
from rhubarbspan.platform.configuration import (
    TranslatedConfiguration,
    translate_configuration,
)
from rhubarbspan.platform.records import decode_server
from rhubarbspan.sections import Problem
from rhubarbspan.standins.platform_deployment import HOST, configuration_document

REGIONS = {"a-1": "a"}
PROPAGATION_S = 2.5
Fields = dict[str, object]


def apply(value: bytes) -> tuple[Configuration, list[Problem], dict[str, str]]:
    """Build the configuration from the store's text, as an instance does."""
    translated = translate_configuration(value, REGIONS)
    assert isinstance(translated, TranslatedConfiguration), translated
    configuration, problems = check_document(
        translated.document, translated.revision, rules=TranslatedRules()
    )
    return configuration, problems, translated.refused


def path_rule(name: str, **changes: object) -> Fields:
    """Return a route of the platform without a key."""
    fields: Fields = {
        "name": name,
        "prefix": f"/{name}/",
        "kind": "safe",
        "service": "shop",
        "allowAnonymous": True,
    }
    return {**fields, **changes}


def document(path: Fields, **changes: object) -> Fields:
    """Return a configuration with one more route beside one named beside."""
    hosts = [{"host": HOST, "paths": [path_rule("beside"), path]}]
    return configuration_document(6, hosts=hosts, **changes)


def tenant(**changes: object) -> list[Fields]:
    """Return the tenants of a configuration, one of them with changed fields."""
    return [
        {"name": "ana", "apiKeys": ["k"], **changes},
        {"name": "beside", "apiKeys": ["k2"]},
    ]


def limits(**changes: object) -> Fields:
    """Return the limits of a configuration with changed fields."""
    return {"headerBytes": 4096, "idleTimeoutS": 9, **changes}


# Each value was refused with the whole configuration, and the pages have no such bound.
UNBOUNDED: list[tuple[Fields, Callable[[Configuration], object], object]] = [
    (document(path_rule("-/health")), lambda c: len(c.routes), 2),
    (document(path_rule("-")), lambda c: len(c.routes), 2),
    (document(path_rule("beside/")), lambda c: len(c.routes), 2),
    (
        document(path_rule("x", timeoutS=86_400)),
        lambda c: c.routes["x"].timeout_s,
        864e2,
    ),
    (
        document(path_rule("x", targetLatencyS=7200)),
        lambda c: c.routes["x"].latency_objective_s,
        7200.0,
    ),
    (document(path_rule("x", priority=5000)), lambda c: c.routes["x"].priority, 5000),
    (
        document(path_rule("x", attempts=500)),
        lambda c: c.routes["x"].n_max_attempts,
        500,
    ),
    (
        document(path_rule("x", split=[{"service": "shop", "weight": 2_000_000}])),
        lambda c: c.routes["x"].parts,
        (("shop", 2e6),),
    ),
    (
        document(path_rule("x"), limits=limits(headerBytes=1_048_576)),
        lambda c: c.caller_limits.n_head_bytes,
        1_048_576,
    ),
    (
        document(path_rule("x"), limits=limits(bodyBytes=10**13)),
        lambda c: c.caller_limits.n_body_bytes,
        10**13,
    ),
    (
        document(path_rule("x"), limits=limits(headerTimeoutS=7200)),
        lambda c: c.caller_limits.head_timeout_s,
        7200.0,
    ),
    (
        document(path_rule("x"), limits=limits(idleTimeoutS=7200)),
        lambda c: c.caller_limits.idle_timeout_s,
        7200.0,
    ),
    (
        document(path_rule("x"), tenants=tenant(priority=5000)),
        lambda c: c.client_accounts["ana"].priority,
        5000,
    ),
    (
        document(path_rule("x"), tenants=tenant(ratePerS=2e6, burst=3e6)),
        lambda c: (c.client_accounts["ana"].rate_per_s, c.client_accounts["ana"].burst),
        (2e6, 3_000_000),
    ),
    (
        document(path_rule("x"), tenants=tenant(name="n" * 1001)),
        lambda c: set(c.client_accounts),
        {"n" * 1001, "beside"},
    ),
    (
        document(
            path_rule("x", service="s" * 1001),
            services=[{"name": "shop"}, {"name": "s" * 1001}],
        ),
        lambda c: c.routes["x"].pool in c.pools and c.routes["x"].pool,
        "s" * 1001,
    ),
    (
        document(
            path_rule("x"),
            services=[{"name": "shop", "connectionLimit": 200_000, "coldStartS": 7200}],
        ),
        lambda c: (c.pools["shop"].n_connections_per_server, c.pools["shop"].ramp_s),
        (200_000, 7200.0),
    ),
    (
        document(path_rule("x"), services=[{"name": "shop", "coldPerS": 2e6}]),
        lambda c: c.pools["shop"].cold_rate_per_s,
        2e6,
    ),
]


# CONFIG: a bound that the pages don't have kept a whole configuration out of force.
@pytest.mark.parametrize(("fields", "read", "expected"), UNBOUNDED)
def test_value_that_the_platform_does_not_bound_is_in_force(
    fields: Fields, read: Callable[[Configuration], object], expected: object
) -> None:
    configuration, problems, refused = apply(json.dumps(fields).encode())
    assert (problems, refused) == ([], {})
    assert read(configuration) == expected
    assert "beside" in configuration.routes


# Servers of a service that may be cold for longer were taken for unreadable.
def test_server_that_is_cold_for_hours_is_known() -> None:
    record = {
        "address": "10.0.0.1:80",
        "instanceInfo": {"service": "shop", "zone": "a-1", "slots": 3},
        "status": {"state": "ready", "sequence": 4, "coldRemainingS": 7200},
    }
    server = decode_server("servers/i-1", json.dumps(record).encode())
    assert isinstance(server, ServerListing), server
    assert server.cold_s == 7200.0


# CONFIG: routes stayed with their old service beside a new one under /-/, and an
# instance that started then had no configuration.
def test_configuration_with_a_route_under_the_own_interface_is_served(
    deployed: PlatformSite,
) -> None:
    paths = [path_rule("look"), path_rule("-/health"), path_rule("fresh")]
    hosts = [{"host": HOST, "paths": paths}]
    big = limits(headerBytes=1_048_576, idleTimeoutS=7200)
    deployed.store.put("op/config", configuration_document(6, hosts=hosts, limits=big))
    deployed.run(asyncio.sleep(PROPAGATION_S))
    for target in ("/look/1", "/-/health/1", "/fresh/1"):
        assert deployed.send(target).status == 200
    assert deployed.send("/open/1").status == 404
    stopped = deployed.instances.pop()
    deployed.run(stopped.close())
    deployed.run(deployed.add_instance("front-a-2"))
    deployed.wait_for(deployed.deployment.is_ready, "the instance is ready")
    deployed.run(asyncio.sleep(1.0))
    for target in ("/look/1", "/-/health/1", "/fresh/1"):
        assert deployed.send(target).status == 200


ODD_PATHS = [
    {**path_rule("x"), "timeoutS": "soon"},
    {**path_rule("x"), "split": [{"service": "shop"}]},
    {**path_rule("x"), "split": [{"service": "shop", "weight": -1}]},
    {**path_rule("x"), "split": [{"service": "shop", "weight": 0}]},
    {**path_rule("x"), "service": ["shop"]},
    {**path_rule("x"), "service": ""},
    {**path_rule("x"), "allowedRegions": "a"},
    {**path_rule("x"), "allowAnonymous": "perhaps"},
    {**path_rule("x"), "attempts": 1.5},
]


# CONFIG: one entry that could not be used kept all others from being applied.
@pytest.mark.parametrize("path", ODD_PATHS)
def test_route_that_cannot_be_read_costs_only_itself(path: Fields) -> None:
    configuration, problems, refused = apply(json.dumps(document(path)).encode())
    assert problems == []
    assert refused
    assert configuration.routes["beside"].pool == "shop"
    # Its requests are refused as not run, and not sent to a shorter prefix.
    (odd,) = (r for r in configuration.routes.values() if r.path_prefix == "/x/")
    assert odd.pool in configuration.pools
    assert odd.pool not in ("shop", "other", "")
    assert not odd.parts


@pytest.mark.parametrize(
    "odd", [None, 7, [], {}, {"prefix": 5}, {"prefix": None, "service": "shop"}]
)
def test_route_without_a_prefix_is_left_out_alone(odd: object) -> None:
    hosts = [{"host": HOST, "paths": [odd, path_rule("beside")]}, {"host": 5}, None]
    value = json.dumps(configuration_document(6, hosts=hosts)).encode()
    configuration, _, refused = apply(value)
    assert set(configuration.routes) == {"beside"}
    assert len(refused) >= 3


@pytest.mark.parametrize("prefix", ["", "x/", "*"])
def test_prefix_that_begins_no_path_is_left_out_alone(prefix: str) -> None:
    value = json.dumps(document(path_rule("x", prefix=prefix))).encode()
    configuration, problems, _ = apply(value)
    assert set(configuration.routes) == {"beside"}
    assert [problem.key for problem in problems] == ["path_prefix"]


def test_field_that_is_null_counts_as_left_out() -> None:
    path = path_rule("x", split=None, priority=None, allowedRegions=None)
    value = json.dumps(
        document(path, tenants=tenant(ratePerS=None), limits=None)
    ).encode()
    configuration, problems, refused = apply(value)
    assert (problems, refused) == ([], {})
    assert (configuration.routes["x"].pool, configuration.routes["x"].regions) == (
        "shop",
        (),
    )
    assert configuration.client_accounts["ana"].rate_per_s == 1e6


@pytest.mark.parametrize(
    "changes", [{"ratePerS": "few"}, {"burst": []}, {"allowedRegions": 5}]
)
def test_tenant_that_cannot_be_read_keeps_its_keys_and_is_not_served(
    changes: Fields,
) -> None:
    value = json.dumps(document(path_rule("x"), tenants=tenant(**changes))).encode()
    configuration, problems, refused = apply(value)
    assert problems == []
    assert list(refused) == ["tenant 0"]
    assert set(configuration.account_by_key_hash.values()) == {"ana", "beside"}
    assert not set(configuration.client_accounts["ana"].regions) & set(REGIONS.values())
    assert configuration.client_accounts["ana"].regions
    assert configuration.client_accounts["beside"].regions == ()


def test_other_entries_that_cannot_be_read_cost_only_themselves() -> None:
    services: list[object] = [5, {"name": "shop", "coldPerS": "x"}, {"name": "other"}]
    odd_limits = limits(headerBytes="many", bodyBytes=5)
    value = json.dumps(
        document(path_rule("x"), services=services, limits=odd_limits)
    ).encode()
    configuration, problems, refused = apply(value)
    assert problems == []
    assert set(refused) == {"service 0", "service 1", "limits", "limits headerBytes"}
    assert set(configuration.pools) == {"shop", "other"}
    assert configuration.caller_limits.n_body_bytes == 5
    assert configuration.caller_limits.idle_timeout_s == 9.0
    assert configuration.caller_limits.n_head_bytes == 16_384


def test_service_that_only_a_route_names_is_served() -> None:
    split = [{"service": "new", "weight": 1}, {"service": "shop", "weight": 3}]
    path = path_rule("x", split=split)
    configuration, problems, refused = apply(json.dumps(document(path)).encode())
    assert (problems, refused) == ([], {})
    assert configuration.routes["x"].parts == (("new", 1.0), ("shop", 3.0))
    assert "new" in configuration.pools


def test_key_of_two_tenants_costs_neither_of_them_the_others() -> None:
    tenants = [
        {"name": "ana", "apiKeys": ["k", "k1"]},
        {"name": "bo", "apiKeys": ["k", "k2"]},
    ]
    value = json.dumps(document(path_rule("x"), tenants=tenants)).encode()
    configuration, problems, _ = apply(value)
    assert [problem.key for problem in problems] == ["key_hashes"]
    names = configuration.account_by_key_hash.values()
    assert sorted(names) == ["ana", "ana", "bo"]


# An instance that started after such a version served nothing at all.
def test_odd_entries_are_refused_as_not_run_and_others_served(
    deployed: PlatformSite,
) -> None:
    paths = [
        path_rule("look"),
        path_rule("keyed", allowAnonymous=False),
        path_rule("odd", timeoutS="soon"),
        path_rule("odd/fine"),
    ]
    hosts: list[object] = [{"host": HOST, "paths": paths}, 5]
    odd_tenants = tenant(burst=[])
    deployed.store.put(
        "op/config", configuration_document(6, hosts=hosts, tenants=odd_tenants)
    )
    deployed.run(asyncio.sleep(PROPAGATION_S))
    stopped = deployed.instances.pop()
    deployed.run(stopped.close())
    deployed.run(deployed.add_instance("front-a-2"))
    deployed.wait_for(deployed.deployment.is_ready, "the instance is ready")
    deployed.run(asyncio.sleep(1.0))
    loop = deployed.loop
    expected = {"/look/1": 200, "/odd/1": 503, "/odd/fine/1": 200, "/none/1": 404}
    begun_s = loop.time()
    for target, status in expected.items():
        assert deployed.send(target).status == status, target
    for key, status in {"k2": 200, "k": 503, "unknown": 401}.items():
        assert deployed.send("/keyed/1", X_Credential=key).status == status, key
    # What cannot be served is refused at once.
    assert loop.time() - begun_s < 1.0
