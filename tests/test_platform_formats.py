"""Tests of the platform's formats: settings, configuration, records and headers."""

import json
from pathlib import Path

import pytest

import rhubarbspan
from rhubarbspan.bodies import DEFAULT_MEMORY_BYTES
from rhubarbspan.checking import check_document
from rhubarbspan.cli import main
from rhubarbspan.configuration import RouteKind, match_route
from rhubarbspan.document_rules import TranslatedRules
from rhubarbspan.inputs import PeerListing, ServerListing
from rhubarbspan.platform.configuration import (
    TranslatedConfiguration,
    translate_configuration,
)
from rhubarbspan.platform.headers import (
    MAX_RETRY_AFTER_S,
    error_response,
    forwarded_request_headers,
    parse_request_headers,
    parse_response_headers,
)
from rhubarbspan.platform.records import (
    decode_instance,
    decode_server,
    encode_instance,
    evacuated_data_centre,
)
from rhubarbspan.platform.settings import (
    BOUND_FIELDS,
    PlatformSettings,
    read_platform_settings,
)
from rhubarbspan.verdict import Failure, MayHaveRun, NotRun, Reason
from rhubarbspan.wire.http import hash_key

SOURCE = Path(rhubarbspan.__file__).parent
REGIONS = {"a-1": "a", "b-1": "b"}
SETTINGS = """
nodeName: "front-a-1-1"
zone: "a-1"
region: "a"
zones: {a-1: "a", b-1: "b"}
ipAddress: "127.0.0.1"
listenAddresses:
  front: "127.0.0.1:8001"
  ready: "127.0.0.1:8002"
  directory: "127.0.0.1:8003"
internalPortRange: [7220, 7235]
heartbeatS: 1.5
somethingNew: {deep: [1, 2]}
bounds:
  - "drainS=3"
  - "revocationS=7.5"
  - "strictRevocation=true"
  - "unknown=x"
platform:
  address: "127.0.0.1:8669"
  ttlMinimumS: 2
"""
# Names that only the platform folder may contain.
WIRE_NAMES = (
    "instanceInfo",
    "coldRemainingS",
    "expectedRevision",
    "allowAnonymous",
    "targetLatencyS",
    "allowedRegions",
    "sessionAffinity",
    "X-Not-Executed",
    "X-Expected-Instance",
    "X-Credential",
    "X-Response-Signature",
    "X-Affinity-Key",
    "/api/resolve",
    "/api/readiness",
    "ttlS",
    "apiKeys",
    "kv-watch",
)


def manifest(**changes: object) -> bytes:
    """Encode a configuration of the platform."""
    path = {"name": "r", "prefix": "/r/", "kind": "safe", "service": "s"}
    fields = {
        "version": 7,
        "services": [{"name": "s", "coldPerS": 3.5, "coldStartS": 3}],
        "tenants": [{"name": "t", "apiKeys": ["k"], "ratePerS": 5, "burst": 2.5}],
        "hosts": [{"host": "H.example", "paths": [path]}],
        **changes,
    }
    return json.dumps(fields).encode()


def test_settings_are_read_and_unknown_fields_left_out() -> None:
    settings = read_platform_settings(SETTINGS, "f.yaml")
    assert isinstance(settings, PlatformSettings)
    assert settings.listen == "127.0.0.1:8001"
    assert settings.peer_listen == "127.0.0.1:7220"
    assert settings.regions == REGIONS
    assert settings.bounds.leaving_s == 3.0
    assert settings.bounds.revocation_s == 7.5
    assert settings.lease_min_s == 2.0


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ('nodeName: "front-a-1-1"', "", "nodeName"),
        ('"127.0.0.1:8001"', '"localhost:8001"', "listenAddresses.front"),
        ('"127.0.0.1:8002"', "17", "listenAddresses.ready"),
        ("[7220, 7235]", '"7220"', "internalPortRange"),
        ('ipAddress: "127.0.0.1"', 'ipAddress: "host"', "ipAddress"),
        ('zone: "a-1"', 'zone: "c-1"', "zone"),
        ("zones: {a-1", "places: {a-1", "zones"),
        ("heartbeatS: 1.5", "heartbeatS: -1", "heartbeatS"),
        ("heartbeatS: 1.5", "heartbeatS: 1" + "0" * 400, "heartbeatS"),
        ('"drainS=3"', '"drainS=soon"', "bounds drainS"),
        ('"drainS=3"', '"drainS=nan"', "bounds drainS"),
        ('"drainS=3"', '"drainS=1e400"', "bounds drainS"),
        ('address: "127.0.0.1:8669"', "", "platform.address"),
    ],
)
def test_bad_settings_give_one_line_that_names_the_field(
    old: str, new: str, field: str
) -> None:
    failure = read_platform_settings(SETTINGS.replace(old, new), "f.yaml")
    assert isinstance(failure, Failure)
    assert failure.reason.startswith(f"f.yaml: {field}: ")
    assert "\n" not in failure.reason


@pytest.mark.parametrize("text", ["", "[1, 2]", "a: [", "just words", "\t:"])
def test_settings_that_are_no_table_are_refused(text: str) -> None:
    failure = read_platform_settings(text, "f.yaml")
    assert isinstance(failure, Failure)
    assert "\n" not in failure.reason


@pytest.mark.parametrize(
    ("memory", "expected"),
    [("300", 300 * 1024 * 1024), ("0", None), ("none", None), ("1" + "0" * 400, None)],
)
def test_memory_limit_is_taken_up_where_there_is_one(
    memory: str, expected: int | None
) -> None:
    text = SETTINGS + f"limits: {{memoryMb: {memory}}}\n"
    settings = read_platform_settings(text, "f.yaml")
    assert isinstance(settings, PlatformSettings)
    assert settings.memory_bytes == (expected or DEFAULT_MEMORY_BYTES)


def test_bounds_may_be_one_line() -> None:
    lines = SETTINGS.split("bounds:")[0] + 'bounds: "drainS=4, graceS=9"\n'
    text = lines + 'platform: {address: "127.0.0.1:8669"}\n'
    settings = read_platform_settings(text, "f.yaml")
    assert isinstance(settings, PlatformSettings)
    assert (settings.bounds.leaving_s, settings.bounds.grace_s) == (4.0, 9.0)
    assert len(set(BOUND_FIELDS.values())) == len(BOUND_FIELDS)


def test_serve_exits_with_2_on_a_bad_file(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "f.yaml"
    file.write_text(SETTINGS.replace('region: "a"', "region: 5"))
    assert main(["serve", "--settings", str(file)]) == 2
    (line,) = capsys.readouterr().err.strip().split("\n")
    assert "region: 5; accepted: a text" in line


def test_configuration_becomes_a_document_that_our_own_rules_accept() -> None:
    split = [{"service": "s", "weight": 90}, {"service": "s2", "weight": 10}]
    paths = [
        {"name": "r", "prefix": "/r/", "kind": "safe", "service": "s", "priority": 2},
        {"name": "r", "prefix": "/r/x/", "kind": "upload", "split": split},
        {
            "name": "Ünfit name!",
            "prefix": "/o/",
            "kind": "unheard-of",
            "service": "s",
            "allowAnonymous": True,
            "allowedRegions": ["a"],
        },
    ]
    value = manifest(
        services=[{"name": "s"}, {"name": "s2"}],
        hosts=[{"host": "H.example", "paths": paths}],
        extra={"ignored": True},
    )
    translated = translate_configuration(value, REGIONS)
    assert isinstance(translated, TranslatedConfiguration)
    configuration, problems = check_document(translated.document, translated.revision)
    assert not problems
    assert configuration.revision == 7
    first = match_route(configuration, "/r/1", "h.example")
    second = match_route(configuration, "/r/x/1", "h.example")
    third = match_route(configuration, "/o/1", "h.example")
    assert first is not None
    assert second is not None
    assert third is not None
    assert (first.kind, first.priority) == (RouteKind.IDEMPOTENT, 2)
    assert second.parts == (("s", 90.0), ("s2", 10.0))
    assert second.kind is third.kind is RouteKind.NON_IDEMPOTENT
    assert third.is_open
    assert third.regions == ("a",)
    # The bound on its age is of the instance, not of the revision.
    assert (first.max_config_age_s, third.max_config_age_s) == (0.0, 0.0)
    assert match_route(configuration, "/r/1", "other.example") is None
    assert match_route(configuration, "/r", "h.example") is None
    assert configuration.account_by_key_hash == {hash_key("k"): "t"}
    assert "k" not in str(translated.document).split("'")


ODD_NAMES = [
    "Ana",
    "ana maria & co",
    "n" * 57,
    "n" * 99,
    "n" * 1001,
    "a,b=c",
    "\u00e9t\u00e9",
    "x]",
]


# Servers got a hash as the name of the tenant, and services had no servers.
@pytest.mark.parametrize("name", ODD_NAMES)
def test_names_go_through_as_they_are(name: str) -> None:
    path = {"name": name, "prefix": "/r/", "kind": "safe", "service": name}
    split = [{"service": name, "weight": 1}, {"service": "s", "weight": 1}]
    second_path = {"name": name, "prefix": "/", "split": split}
    value = manifest(
        services=[{"name": name}, {"name": "s"}],
        tenants=[{"name": name, "apiKeys": ["k"]}],
        hosts=[{"host": "h", "paths": [path, second_path]}],
    )
    translated = translate_configuration(value, {name: "region"})
    assert isinstance(translated, TranslatedConfiguration)
    assert not translated.refused
    configuration, problems = check_document(
        translated.document, translated.revision, rules=TranslatedRules()
    )
    assert not problems
    assert configuration.account_by_key_hash == {hash_key("k"): name}
    assert set(configuration.pools) == {name, "s"}
    assert set(configuration.routes) == {name, f"{name}.2"}
    assert configuration.routes[name].pool == name
    assert configuration.routes[f"{name}.2"].parts == ((name, 1.0), ("s", 1.0))
    assert configuration.region_of(name) == "region"
    assert set(configuration.client_accounts) == {name}


@pytest.mark.parametrize(
    "name", ["a\r\nX-Forged: b", "", " ", "a\x00", "x" * 1001 + "\n"]
)
def test_tenant_that_cannot_be_named_in_a_header_is_left_out_alone(name: str) -> None:
    tenants = [{"name": name, "apiKeys": ["bad"]}, {"name": "t", "apiKeys": ["k"]}]
    translated = translate_configuration(manifest(tenants=tenants), REGIONS)
    assert isinstance(translated, TranslatedConfiguration)
    assert list(translated.refused) == [f"tenant {name}"]
    configuration, problems = check_document(translated.document, translated.revision)
    assert not problems
    assert configuration.account_by_key_hash == {hash_key("k"): "t"}
    assert not configuration.routes["r"].is_open


def test_full_name_must_be_fit_for_a_header_and_unique() -> None:
    document = {
        "client_account a": {"rate_per_s": "1", "burst": "1", "name": "x\ny"},
        "client_account b": {"rate_per_s": "1", "burst": "1", "name": "c"},
        "client_account c": {"rate_per_s": "1", "burst": "1"},
    }
    _, problems = check_document(document)
    assert [problem.section for problem in problems] == [
        "client_account a",
        "client_account c",
    ]


def test_no_tenants_means_that_no_keys_are_needed() -> None:
    value = json.loads(manifest())
    del value["tenants"]
    translated = translate_configuration(json.dumps(value).encode(), REGIONS)
    assert isinstance(translated, TranslatedConfiguration)
    assert translated.document["route r"]["open"] == "yes"


@pytest.mark.parametrize(
    "value",
    [b"", b"{", b"[]", b"\xff\xff", b'{"version": "x"}', manifest(hosts={"a": 1})],
)
def test_configuration_that_cannot_be_read_is_a_failure(value: bytes) -> None:
    assert isinstance(translate_configuration(value, REGIONS), Failure)


def server_record(**changes: object) -> bytes:
    """Encode the record of a server."""
    fields = {
        "address": "10.0.0.1:80",
        "instanceInfo": {"service": "s", "version": "v", "zone": "a-1", "slots": 3},
        "status": {"state": "ready", "sequence": 4, "coldRemainingS": 1.5},
        "born": 17,
        **changes,
    }
    return json.dumps(fields).encode()


def test_server_record_is_decoded() -> None:
    assert decode_server("servers/i-1", server_record()) == ServerListing(
        "i-1", "s", "10.0.0.1:80", "a-1", False, 3, 17, 1.5, 4
    )


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\x00",
        b"null",
        server_record(address=None),
        server_record(address="10.0.0.1"),
        server_record(status={"state": "resting"}),
        server_record(status={"sequence": 1}),
        server_record(instanceInfo={"service": 3, "zone": "a-1"}),
        server_record(born="yesterday"),
    ],
)
def test_record_of_another_writer_names_no_server(value: bytes) -> None:
    assert isinstance(decode_server("servers/i-1", value), Failure)


def test_instance_record_survives_the_round_trip() -> None:
    peer = PeerListing("n-1", "127.0.0.1:7220", "127.0.0.1:8001", "a-1")
    key = "rhubarbspan/instances/n-1"
    assert decode_instance(key, encode_instance(peer)) == peer
    assert isinstance(decode_instance(key, b"{}"), Failure)
    assert evacuated_data_centre("op/evacuate/a-1") == "a-1"
    assert evacuated_data_centre("op/config") == ""


def test_request_headers_are_decoded() -> None:
    fields = parse_request_headers(
        [
            (b"host", b"Shop.Example:80"),
            (b"x-request-id", b"r1"),
            (b"x-deadline-milliseconds", b"1500"),
            (b"x-credential", b"k"),
            (b"cookie", b"other=1; X-Affinity-Key=17; more=2"),
        ]
    )
    assert (fields.host, fields.caller_request_id) == ("shop.example", "r1")
    assert (fields.timeout_s, fields.object_key) == (1.5, "17")
    assert fields.key_hash == hash_key("k")


@pytest.mark.parametrize("value", [b"", b"x", b"-5", b"0", b"inf", b"nan"])
def test_malformed_deadline_is_told_apart_from_none(value: bytes) -> None:
    assert parse_request_headers([(b"x-deadline-milliseconds", value)]).timeout_s == -1
    assert parse_request_headers([]).timeout_s == 0


def test_server_sees_no_key_and_no_header_of_the_connection() -> None:
    passed = forwarded_request_headers(
        [
            (b"host", b"h"),
            (b"x-credential", b"secret"),
            (b"x-tenant-name", b"forged"),
            (b"x-expected-instance", b"forged"),
            (b"connection", b"close, X-Hop"),
            (b"x-hop", b"1"),
            (b"transfer-encoding", b"chunked"),
            (b"x-kept", b"1"),
        ],
        0.25,
        "i-1",
        "ana",
    )
    assert passed == [
        (b"host", b"h"),
        (b"x-kept", b"1"),
        (b"x-deadline-milliseconds", b"250"),
        (b"x-expected-instance", b"i-1"),
        (b"x-tenant-name", b"ana"),
    ]


def test_answer_headers_are_decoded() -> None:
    fields = parse_response_headers(
        [
            (b"x-request-id", b"r1"),
            (b"x-response-signature", b"s"),
            (b"x-server-load", b"3, 1, 8"),
            (b"keep-alive", b"timeout=9, max=5"),
        ]
    )
    assert fields.load == (3, 1, 8)
    assert fields.keep_alive_s == 9.0
    keep_alive = [(b"keep-alive", b"timeout=0")]
    assert parse_response_headers(keep_alive).keep_alive_s == 0.0
    assert parse_response_headers([]).keep_alive_s is None
    assert fields.is_signed
    assert not fields.is_not_run
    assert parse_response_headers([(b"x-server-load", b"many")]).load is None
    assert not fields.is_leaving
    assert fields.retry_after_s == 0.0
    assert parse_response_headers([(b"server-leaving", b"1")]).is_leaving
    assert not parse_response_headers([(b"server-leaving", b"0")]).is_leaving


@pytest.mark.parametrize(
    ("value", "load", "slowdown"),
    [
        (b"3,0,8,140", (3, 0, 8), 1.4),
        (b" 3, 1, 8, 100 ", (3, 1, 8), 1.0),
        (b"3,0,8", (3, 0, 8), None),
        (b"3,0,8,0", (3, 0, 8), None),
        (b"3,0,8,-50", (3, 0, 8), None),
        (b"3,0,8,999999", (3, 0, 8), None),
        (b"3,0", None, None),
        (b"3,0,8,140,1", None, None),
        (b"-3,0,8,140", None, None),
        (b"3,0,0,100", None, None),
        (b"3,x,8", None, None),
        (b"3,0," + b"9" * 5000, None, None),
    ],
)
def test_load_reports_of_three_or_four_figures_are_decoded(
    value: bytes, load: tuple[int, int, int] | None, slowdown: float | None
) -> None:
    # Reports of four figures were taken as absent, so that placing did not see the
    # load of servers that send them; 5,000 digits raised ValueError.
    fields = parse_response_headers([(b"x-server-load", value)])
    assert (fields.load, fields.slowdown) == (load, slowdown)


@pytest.mark.parametrize(
    ("value", "retry_after_s"),
    [
        (b"2", 2.0),
        (b" 0.25 ", 0.25),
        (b"0", 0.0),
        (b"9" * 400, MAX_RETRY_AFTER_S),
        (b"-1", -1.0),
        (b"nan", -1.0),
        (b"inf", -1.0),
        (b"1e3", -1.0),
        (b"1_0", -1.0),
        (b"", -1.0),
        (b"Sat, 05 Dec 2026 12:00:00 GMT", -1.0),
    ],
)
def test_pause_that_a_server_asks_for_is_finite_and_bounded(
    value: bytes, retry_after_s: float
) -> None:
    fields = parse_response_headers([(b"retry-after", value)])
    assert fields.retry_after_s == retry_after_s


@pytest.mark.parametrize(
    ("verdict", "status"),
    [
        (NotRun(Reason.UNKNOWN_ROUTE), 404),
        (NotRun(Reason.BAD_KEY), 401),
        (NotRun(Reason.OVER_RATE), 429),
        (NotRun(Reason.NOT_READY), 503),
        (NotRun(Reason.QUARANTINED), 503),
        (MayHaveRun(Reason.DEADLINE), 504),
        (MayHaveRun(Reason.CONNECTION_LOST), 502),
    ],
)
def test_status_promises_no_more_than_the_verdict(
    verdict: NotRun | MayHaveRun, status: int
) -> None:
    found, headers = error_response(verdict, 0.25, "r1")
    assert found == status
    assert ((b"retry-after", b"0.250") in headers) is isinstance(verdict, NotRun)
    if isinstance(verdict, MayHaveRun):
        assert found not in (408, 421, 429, 503)


@pytest.mark.parametrize(
    "file",
    [
        file
        for file in sorted(SOURCE.rglob("*.py"))
        if not {"platform", "standins"} & set(file.relative_to(SOURCE).parts)
    ],
    ids=lambda file: str(file.relative_to(SOURCE)),
)
def test_nothing_outside_the_folder_knows_the_platforms_names(file: Path) -> None:
    text = file.read_text()
    assert [name for name in WIRE_NAMES if name in text] == []


@pytest.mark.parametrize(
    "lines",
    [
        "",
        "# nothing but a comment\n",
        "[client_account ana]\nrate_per_s =\nburst = 5\n",
        "[client_account ana]\nrate_per_s = 5\nburst =\n",
    ],
)
def test_config_check_refuses_empty_files_and_values(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], lines: str
) -> None:
    file = tmp_path / "c.ini"
    file.write_text(lines)
    assert main(["config", "check", str(file)]) == 2
    assert capsys.readouterr().err.startswith(str(file))
