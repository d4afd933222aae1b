"""Reads the settings of one instance from an INI file."""

import configparser
from dataclasses import dataclass

from .logs import LOG_FORMATS
from .record_checks import is_ip_and_port
from .verdict import Failure

SECTIONS: dict[str, tuple[str, ...]] = {
    "instance": (
        "seat",
        "data_centre",
        "region",
        "listen",
        "peer_listen",
        "grace_s",
        "queue_order",
    ),
    "platform": ("store", "service"),
    "peers": ("seeds",),
    "limits": ("memory_mb", "file_descriptors", "held_mb"),
    "log": ("level", "format"),
}
REQUIRED: dict[str, tuple[str, ...]] = {
    "instance": ("seat", "data_centre", "region", "listen", "peer_listen"),
    "platform": ("store",),
}
# Grace period between the request to stop and the kill, in seconds: long enough for
# callers to hear of the stop.
DEFAULT_GRACE_S = 30.0
MIN_GRACE_S = 3.0
MAX_GRACE_S = 3600.0
# Order of waiting requests: of arrival, or of the value for their slot time.
QUEUE_ORDERS = ("arrival", "cost")
BYTES_PER_MB = 1024 * 1024
# Limits of the machine: the least and the largest value.
LIMITS = {
    "memory_mb": (100, 1_000_000),
    "file_descriptors": (100, 1_000_000),
    "held_mb": (1, 1_000_000),
}
LOG_LEVELS = ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR")


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings that an instance needs before it can reach the platform.

    Attributes:
        listen: IP address and port for callers.
        peer_listen: IP address and port for other instances.
        store: IP address and port of the platform's store.
        service: Name of the instances' service in the platform's list.
        seeds: Pairs of seat and peer address, used until the platform's list of
            instances has been read.
        queue_order: One of ``QUEUE_ORDERS``.
        grace_s: How long after the request to stop the process is killed.
        memory_bytes: Memory that the process may use, or 0 for a part of its machine's.
        n_descriptors: Descriptors that the process may use, or 0 for its own limit.
        held_bytes: Bytes that the process holds for others at most, or 0 for a part of
            its memory.
    """

    seat: str
    data_centre: str
    region: str
    listen: str
    peer_listen: str
    store: str
    service: str = "rhubarbspan"
    seeds: tuple[tuple[str, str], ...] = ()
    log_level: str = "INFO"
    log_format: str = "text"
    grace_s: float = DEFAULT_GRACE_S
    queue_order: str = "arrival"
    memory_bytes: int = 0
    n_descriptors: int = 0
    held_bytes: int = 0


def read_settings(text: str, file: str) -> Settings | Failure:
    """Parse and check the settings.

    Returns:
        The settings, or a failure with file, section, key, value and accepted values
        on one line.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(text, source=file)
    except configparser.Error as error:
        return Failure("malformed", f"{file}: {' '.join(str(error).split())}")
    problem = _find_unknown_option(parser) or _find_invalid_value(parser)
    if problem is not None:
        return Failure("settings", f"{file}: {problem}")
    seeds = _read_seeds(parser.get("peers", "seeds", fallback=""))
    return Settings(
        parser["instance"]["seat"],
        parser["instance"]["data_centre"],
        parser["instance"]["region"],
        parser["instance"]["listen"],
        parser["instance"]["peer_listen"],
        parser["platform"]["store"],
        parser.get("platform", "service", fallback="rhubarbspan"),
        seeds or (),
        parser.get("log", "level", fallback="INFO"),
        parser.get("log", "format", fallback="text"),
        _read_grace_s(parser) or DEFAULT_GRACE_S,
        parser.get("instance", "queue_order", fallback="arrival"),
        _read_limit(parser, "memory_mb") * BYTES_PER_MB,
        _read_limit(parser, "file_descriptors"),
        _read_limit(parser, "held_mb") * BYTES_PER_MB,
    )


def _find_unknown_option(parser: configparser.ConfigParser) -> str | None:
    for section in parser.sections():
        if section not in SECTIONS:
            return f"[{section}]: unknown section; accepted: {', '.join(SECTIONS)}"
        for key, value in parser.items(section):
            if key not in SECTIONS[section]:
                accepted = ", ".join(SECTIONS[section])
                return f"[{section}] {key}: {value!r}; accepted: {accepted}"
    return None


def _find_invalid_value(parser: configparser.ConfigParser) -> str | None:
    for section, keys in REQUIRED.items():
        for key in keys:
            value = parser.get(section, key, fallback="")
            is_address = key in ("listen", "peer_listen", "store")
            accepted = "an IP number and port" if is_address else "a name"
            if not value:
                return f"[{section}] {key}: missing; accepted: {accepted}"
            if is_address and not is_ip_and_port(value):
                return f"[{section}] {key}: {value!r}; accepted: {accepted}"
    seat = parser["instance"]["seat"]
    data_centre, _, number = seat.rpartition("-")
    if data_centre != parser["instance"]["data_centre"] or not number.isdigit():
        return f"[instance] seat: {seat!r}; accepted: the data centre, -, and a number"
    if _read_seeds(parser.get("peers", "seeds", fallback="")) is None:
        value = parser["peers"]["seeds"]
        accepted = "SEAT=IP:PORT pairs separated by commas"
        return f"[peers] seeds: {value!r}; accepted: {accepted}"
    if _read_grace_s(parser) is None:
        value = parser["instance"]["grace_s"]
        accepted = f"{MIN_GRACE_S:g} to {MAX_GRACE_S:g} (seconds)"
        return f"[instance] grace_s: {value!r}; accepted: {accepted}"
    order = parser.get("instance", "queue_order", fallback="arrival")
    if order not in QUEUE_ORDERS:
        return f"[instance] queue_order: {order!r}; accepted: {', '.join(QUEUE_ORDERS)}"
    for key, (least, largest) in LIMITS.items():
        text = parser.get("limits", key, fallback=str(least))
        if not text.isascii() or not text.isdigit():
            return f"[limits] {key}: {text!r}; accepted: {least} to {largest}"
        if not least <= int(text) <= largest:
            return f"[limits] {key}: {text!r}; accepted: {least} to {largest}"
    level = parser.get("log", "level", fallback="INFO")
    if level not in LOG_LEVELS:
        return f"[log] level: {level!r}; accepted: {', '.join(LOG_LEVELS)}"
    log_format = parser.get("log", "format", fallback="text")
    if log_format not in LOG_FORMATS:
        return f"[log] format: {log_format!r}; accepted: {', '.join(LOG_FORMATS)}"
    return None


def _read_grace_s(parser: configparser.ConfigParser) -> float | None:
    text = parser.get("instance", "grace_s", fallback=str(DEFAULT_GRACE_S))
    try:
        grace_s = float(text)
    except ValueError:
        return None
    return grace_s if MIN_GRACE_S <= grace_s <= MAX_GRACE_S else None


def _read_limit(parser: configparser.ConfigParser, key: str) -> int:
    return parser.getint("limits", key, fallback=0)


def _read_seeds(text: str) -> tuple[tuple[str, str], ...] | None:
    seeds = []
    for part in text.split(","):
        if not part.strip():
            continue
        seat, _, address = part.strip().partition("=")
        if not seat or not is_ip_and_port(address):
            return None
        seeds.append((seat, address))
    return tuple(seeds)
