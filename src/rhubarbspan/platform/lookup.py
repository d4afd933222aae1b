"""Formats of look-ups and paths of the look-up and readiness endpoints."""

from collections.abc import Mapping

LOOKUP_PATH = "/api/resolve"
READY_PATH = "/api/readiness"


def parse_lookup_query(query: Mapping[str, str]) -> tuple[str, str]:
    """Return the region and data centre of the caller, empty if not given."""
    return query.get("region", ""), query.get("zone", "")


def lookup_body(addresses: list[str], lifetime_s: float) -> dict[str, object]:
    """Return the JSON body of a look-up answer, with its lifetime in seconds."""
    return {"addresses": addresses, "ttlS": lifetime_s}
