"""Tests that what the platform has accepted is applied, at least what can be used."""

import asyncio
import json
from collections.abc import Callable

import pytest

from platform_site import PlatformSite
from rhubarbspan.checking import check_document
from rhubarbspan.configuration import Configuration
from rhubarbspan.document_rules import TranslatedRules
from rhubarbspan.platform.configuration import (
    TranslatedConfiguration,
    translate_configuration,
)
from rhubarbspan.sections import Problem
from rhubarbspan.standins.platform_deployment import HOST, configuration_document

REGIONS = {"a-1": "a"}
PROPAGATION_S = 2.5
Fields = dict[str, object]


def apply(value: bytes) -> tuple[Configuration, list[Problem], dict[str, str]]:
    """Build the configuration from the store's text, as an instance does."""
    translated = translate_configuration(value, REGIONS, 4.0)
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
