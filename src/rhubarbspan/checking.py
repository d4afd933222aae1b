"""Checks a whole document and builds the typed configuration from it."""

import ipaddress

from .configuration import (
    CallerLimits,
    ClientAccount,
    ClientBlock,
    Configuration,
    DataCentre,
    Drain,
    DrainKind,
    Link,
    Pool,
    Route,
    RouteKind,
    Shift,
    add_client_block,
)
from .document import Document
from .document_rules import OWN_RULES, DocumentRules, OwnRules, TranslatedRules
from .record_checks import MAX_INTEGER
from .sections import (
    FULL_NAME,
    OPTIONS,
    Problem,
    SectionReader,
    is_full_name,
)

KEY_HASH_LENGTH = 64
MAX_RATE_PER_S = 1_000_000.0
MAX_TIMEOUT_S = 3600.0
MAX_PRIORITY = 1000
MAX_NAME_LENGTH = 64
NAME_CHARACTERS = set("abcdefghijklmnopqrstuvwxyz0123456789-_.")


def check_document(
    document: Document,
    revision: int = 0,
    known: Configuration | None = None,
    rules: DocumentRules = OWN_RULES,
) -> tuple[Configuration, list[Problem]]:
    """Check a whole document and build the configuration.

    Args:
        document: Sections titled ``KIND NAME``.
        revision: The revision that the configuration will carry.
        known: A configuration with the same data centres. Its data centres and client
            blocks are used again and not checked.
        rules: Who has written the document.

    Returns:
        The configuration and its problems. Under ``OwnRules`` the configuration may be
        used only if there are no problems. Under ``TranslatedRules`` each problem has
        changed one entry, and the configuration may be used.
    """
    problems: list[Problem] = []
    readers = _create_readers(document, problems, rules)
    configuration = Configuration(revision)
    _read_data_centres(configuration, readers, known)
    _read_accounts(configuration, readers, problems)
    _read_pools_routes_and_limits(configuration, readers)
    _read_shifts_and_drains(configuration, readers)
    match rules:
        case OwnRules():
            _check_path_prefixes(configuration, readers, problems)
        case TranslatedRules():
            _remove_unmatched_routes(configuration, readers, problems)
    return configuration, problems


def _create_readers(
    document: Document, problems: list[Problem], rules: DocumentRules
) -> dict[str, dict[str, SectionReader]]:
    readers: dict[str, dict[str, SectionReader]] = {kind: {} for kind in OPTIONS}
    names: dict[tuple[str, str], str] = {}
    for title, body in document.items():
        kind, _, name = title.partition(" ")
        if kind not in OPTIONS:
            accepted = "a section of " + ", ".join(sorted(OPTIONS))
            problems.append(Problem(title, "section", kind, accepted))
            continue
        if not name or len(name) > MAX_NAME_LENGTH or set(name) - NAME_CHARACTERS:
            accepted = "1 to 64 of a-z 0-9 - _ ."
            problems.append(Problem(title, "name", name, accepted))
        options = {option.key: option for option in OPTIONS[kind]}
        for key in body:
            if key not in options:
                accepted = "one of " + ", ".join(options)
                problems.append(Problem(title, key, body[key], accepted))
        reader = SectionReader(title, body, problems, options, rules)
        _check_full_name(reader, names)
        readers[kind][name] = reader
    return readers


def _check_full_name(reader: SectionReader, names: dict[tuple[str, str], str]) -> None:
    """Check a section's full name, and that no other section of its kind has it."""
    match reader.rules:
        case OwnRules() if not is_full_name(reader.name):
            reader.reject(FULL_NAME.key, reader.name, FULL_NAME.accepted)
        case OwnRules() | TranslatedRules():
            pass
    kind = reader.title.partition(" ")[0]
    owner = names.setdefault((kind, reader.name), reader.title)
    if owner != reader.title:
        accepted = f"a name that [{owner}] does not have"
        reader.reject(FULL_NAME.key, reader.name, accepted)


def _read_data_centres(
    configuration: Configuration,
    readers: dict[str, dict[str, SectionReader]],
    known: Configuration | None,
) -> None:
    if known is not None:
        configuration.data_centres = known.data_centres
        configuration.blocks = known.blocks
        _read_links(configuration, readers)
        return
    for reader in readers["data_centre"].values():
        name = reader.name
        blocks = reader.items("client_blocks")
        is_decommissioned = reader.flag("gone")
        n_seats = reader.integer("seats", 0, 1000)
        data_centre = DataCentre(
            name,
            reader.text("region"),
            0 if is_decommissioned else n_seats,
            blocks,
            is_decommissioned,
        )
        configuration.data_centres[name] = data_centre
        for text in blocks:
            block = _parse_block(text)
            if block is None:
                reader.reject("client_blocks", text)
                continue
            owner = add_client_block(configuration.blocks, block, name)
            if owner != name:
                accepted = f"a block that data centre {owner} does not have"
                reader.reject("client_blocks", text, accepted)
    _read_links(configuration, readers)


def _read_links(
    configuration: Configuration, readers: dict[str, dict[str, SectionReader]]
) -> None:
    regions = set(configuration.regions())
    for name, reader in readers["link"].items():
        ends = reader.items("regions")
        if len(set(ends)) != 2 or not set(ends) <= regions:
            reader.reject("regions", ", ".join(ends), "two existing regions")
            continue
        cap = reader.number("cap_mbit_per_s", 0.001, 1_000_000)
        configuration.links[name] = Link(name, (ends[0], ends[1]), cap)


def _parse_block(text: str) -> ClientBlock | None:
    try:
        return ipaddress.ip_network(text)
    except ValueError:
        return None


def _read_accounts(
    configuration: Configuration,
    readers: dict[str, dict[str, SectionReader]],
    problems: list[Problem],
) -> None:
    for reader in readers["client_account"].values():
        name = reader.name
        rate = reader.number("rate_per_s", 0.0, MAX_RATE_PER_S)
        burst = reader.integer("burst", 1, int(MAX_RATE_PER_S))
        hashes = reader.items("key_hashes")
        configuration.client_accounts[name] = ClientAccount(
            name,
            rate,
            burst,
            hashes,
            reader.integer("priority", -1, MAX_PRIORITY),
            reader.items("regions"),
        )
        for value in hashes:
            if len(value) != KEY_HASH_LENGTH or set(value) - set("0123456789abcdef"):
                reader.reject("key_hashes", value)
            owner = configuration.account_by_key_hash.setdefault(value, name)
            if owner != name:
                accepted = f"a hash that client account {owner} does not hold"
                problems.append(Problem(reader.title, "key_hashes", value, accepted))


def _read_pools_routes_and_limits(
    configuration: Configuration, readers: dict[str, dict[str, SectionReader]]
) -> None:
    pools = {title: reader.name for title, reader in readers["pool"].items()}
    for reader in readers["pool"].values():
        configuration.pools[reader.name] = Pool(
            reader.name,
            reader.integer("slots_per_server", 1, 10_000),
            reader.integer("connections_per_server", 1, 100_000),
            reader.integer("max_queued", 0, 100_000),
            reader.number("ramp_s", 0, 3600),
            reader.number("cold_rate_per_s", 0, MAX_RATE_PER_S),
        )
    for reader in readers["route"].values():
        pool = reader.reference("pool", set(pools), "pool")
        configuration.routes[reader.name] = Route(
            reader.name,
            pools.get(pool, pool),
            reader.text("path_prefix"),
            reader.choice("kind", RouteKind),
            reader.flag("open"),
            reader.number("timeout_s", 0.01, MAX_TIMEOUT_S),
            reader.number("max_config_age_s", 0, 86_400),
            reader.number("availability_objective", 0, 0.99999),
            reader.number("latency_objective_s", 0.001, MAX_TIMEOUT_S),
            reader.text("host"),
            reader.integer("attempts", 1, 100),
            reader.integer("priority", 0, MAX_PRIORITY),
            reader.items("regions"),
            reader.flag("affinity"),
            _read_split(reader, pools),
        )
    for reader in readers["limits"].values():
        configuration.caller_limits = CallerLimits(
            reader.integer("head_bytes", 1, 1_000_000),
            reader.integer("body_bytes", 0, 1_000_000_000_000),
            reader.number("head_timeout_s", 0.01, 3600),
            reader.number("idle_timeout_s", 0.01, 3600),
        )


def _read_split(
    reader: SectionReader, pools: dict[str, str]
) -> tuple[tuple[str, float], ...]:
    """Read the pools of a split route with their weights.

    Args:
        reader: The route.
        pools: Full names of the pools by the names in their titles.
    """
    max_weight: float = MAX_RATE_PER_S
    match reader.rules:
        case OwnRules():
            pass
        case TranslatedRules():
            max_weight = MAX_INTEGER
    weighted_pools: list[tuple[str, float]] = []
    for item in reader.items("split"):
        pool, _, text = item.partition("=")
        try:
            weight = float(text)
        except ValueError:
            weight = -1.0
        if pool not in pools or not 0 <= weight <= max_weight:
            reader.reject("split", item, "the name of a pool, = and a weight")
            return ()
        weighted_pools.append((pools[pool], weight))
    if weighted_pools and not sum(weight for _, weight in weighted_pools) > 0:
        reader.reject("split", reader.text("split"), "a weight above 0")
        return ()
    return tuple(weighted_pools)


def _read_shifts_and_drains(
    configuration: Configuration, readers: dict[str, dict[str, SectionReader]]
) -> None:
    regions = set(configuration.regions())
    pools = {title: reader.name for title, reader in readers["pool"].items()}
    for name, reader in readers["shift"].items():
        pool = reader.reference("pool", set(pools), "pool")
        shift = Shift(
            name,
            pools.get(pool, pool),
            reader.reference("from_region", regions, "region"),
            reader.reference("to_region", regions, "region"),
            reader.number("cap_requests_per_s", 0, MAX_RATE_PER_S),
            reader.number("pace_requests_per_s2", 0.001, MAX_RATE_PER_S),
            reader.number("fraction", 0, 1),
        )
        if shift.from_region == shift.to_region:
            reader.reject("to_region", shift.to_region)
        configuration.shifts[name] = shift
    for name, reader in readers["drain"].items():
        kind = reader.choice("kind", DrainKind)
        target = reader.text("target")
        if kind is DrainKind.DATA_CENTRE and target not in configuration.data_centres:
            reader.reject("target", target, "the name of an existing data centre")
        if kind is DrainKind.INSTANCE and target not in configuration.seats():
            reader.reject("target", target, "the name of an existing seat")
        configuration.drains[name] = Drain(name, kind, target)


def _check_path_prefixes(
    configuration: Configuration,
    readers: dict[str, dict[str, SectionReader]],
    problems: list[Problem],
) -> None:
    """Check that routes are distinct and leave the own interface its paths."""
    titles = {reader.name: reader.title for reader in readers["route"].values()}
    owners: dict[tuple[str, str], str] = {}
    for route in configuration.routes.values():
        prefix = route.path_prefix
        title = titles[route.name]
        if not prefix.startswith("/") or prefix == "/-" or prefix.startswith("/-/"):
            accepted = "a path that starts with /, except /-/"
            problems.append(Problem(title, "path_prefix", prefix, accepted))
        owner = owners.setdefault((route.host, prefix.rstrip("/")), route.name)
        if owner != route.name:
            accepted = f"a path that route {owner} does not have"
            problems.append(Problem(title, "path_prefix", prefix, accepted))


def _remove_unmatched_routes(
    configuration: Configuration,
    readers: dict[str, dict[str, SectionReader]],
    problems: list[Problem],
) -> None:
    """Remove routes whose prefix begins no path, or is another route's of the host."""
    titles = {reader.name: reader.title for reader in readers["route"].values()}
    owners: dict[tuple[str, str], str] = {}
    for route in list(configuration.routes.values()):
        prefix = route.path_prefix
        accepted = ""
        if not prefix.startswith("/"):
            accepted = "a path that starts with /"
        elif owners.setdefault((route.host, prefix), route.name) != route.name:
            owner = owners[route.host, prefix]
            accepted = f"a path that route {owner} does not have"
        if accepted:
            problem = Problem(titles[route.name], "path_prefix", prefix, accepted)
            problems.append(problem)
            del configuration.routes[route.name]
