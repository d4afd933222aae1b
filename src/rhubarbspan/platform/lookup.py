"""The platform's calls to an instance: look-ups and whether it is ready."""

from collections.abc import Mapping

LOOKUP_PATH = "/api/resolve"
READY_PATH = "/api/readiness"


def parse_lookup_query(query: Mapping[str, str]) -> tuple[str, str]:
    """Return the region and the data centre of the caller that asks."""
    return query.get("region", ""), query.get("zone", "")


def lookup_body(addresses: list[str], lifetime_s: float) -> dict[str, object]:
    """Build the answer to a look-up."""
    return {"addresses": addresses, "ttlS": lifetime_s}
