"""Defines the options of a document's sections and reads typed values from them."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeVar

from .document import Section
from .document_rules import OWN_RULES, DocumentRules, OwnRules, TranslatedRules
from .record_checks import MAX_INTEGER

EnumType = TypeVar("EnumType", bound=Enum)
MAX_FULL_NAME_LENGTH = 1000


@dataclass(frozen=True, slots=True)
class Option:
    """One key of a section, for the checks and the documentation.

    Attributes:
        accepted: Accepted values and their unit, as shown to operators.
        default: Text that is read if the key is absent; None if it is required.
    """

    key: str
    accepted: str
    default: str | None


@dataclass(frozen=True, slots=True)
class Problem:
    """One error in a document.

    Attributes:
        section: Title of the section.
        value: The value that was not accepted, empty if it is missing.
        accepted: Which values are accepted, as shown to operators.
    """

    section: str
    key: str
    value: str
    accepted: str

    def shown_value(self) -> str:
        """Return the value as shown to operators."""
        return "missing" if self.value == "" else repr(self.value)

    def describe(self, file: str) -> str:
        """Return the problem as one line.

        Args:
            file: Name of the file that the document was read from.
        """
        return (
            f"{file}: [{self.section}] {self.key}: {self.shown_value()}; "
            f"accepted: {self.accepted}"
        )


FULL_NAME = Option(
    "name", "1 to 1000 characters, no controls, or nothing for the title's name", ""
)
OPTIONS: dict[str, tuple[Option, ...]] = {
    "route": (
        Option("pool", "the name of a pool", None),
        Option("path_prefix", "a path that starts with /, except /-/", None),
        Option("kind", "idempotent, non_idempotent, at_most_once", None),
        Option("open", "yes or no", "no"),
        Option("timeout_s", "0.01 to 3600 seconds", "10"),
        Option("max_config_age_s", "0 to 86400 seconds, 0 for no bound", "0"),
        Option("availability_objective", "0 to 0.99999", "0.999"),
        Option("latency_objective_s", "0.001 to 3600 seconds", "1"),
        Option("host", "the name of a host, or nothing for all hosts", ""),
        Option("attempts", "1 to 100 backend servers for one request", "4"),
        Option("priority", "0 to 1000, 0 first", "0"),
        Option("regions", "regions separated by commas, or nothing for all", ""),
        Option("affinity", "yes or no", "no"),
        Option("split", "POOL=WEIGHT pairs separated by commas", ""),
        FULL_NAME,
    ),
    "pool": (
        Option("slots_per_server", "1 to 10000", "3"),
        Option("connections_per_server", "1 to 100000", "350"),
        Option("max_queued", "0 to 100000", "200"),
        Option("ramp_s", "0 to 3600 seconds", "10"),
        Option("cold_rate_per_s", "0 to 1000000 requests per second", "1000000"),
        FULL_NAME,
    ),
    "client_account": (
        Option("rate_per_s", "0 to 1000000 requests per second", None),
        Option("burst", "1 to 1000000 requests", None),
        Option("key_hashes", "SHA-256 hashes in hexadecimal, separated by commas", ""),
        Option("priority", "-1 to 1000, 0 first, -1 for the route's", "-1"),
        Option("regions", "regions separated by commas, or nothing for all", ""),
        FULL_NAME,
    ),
    "data_centre": (
        Option("region", "a name", None),
        Option("seats", "0 to 1000", "1"),
        Option("gone", "yes or no", "no"),
        Option("client_blocks", "IP networks separated by commas", ""),
        FULL_NAME,
    ),
    "link": (
        Option("regions", "two regions separated by a comma", None),
        Option("cap_mbit_per_s", "0.001 to 1000000 Mbit per second", None),
    ),
    "shift": (
        Option("pool", "the name of a pool", None),
        Option("from_region", "a region", None),
        Option("to_region", "another region", None),
        Option("cap_requests_per_s", "0 to 1000000 requests per second", None),
        Option("pace_requests_per_s2", "0.001 to 1000000 requests per second²", "1"),
        Option("fraction", "0 to 1", "1"),
    ),
    "limits": (
        Option("head_bytes", "1 to 1000000 bytes", "16384"),
        Option("body_bytes", "0 to 1000000000000 bytes", "67108864"),
        Option("head_timeout_s", "0.01 to 3600 seconds", "10"),
        Option("idle_timeout_s", "0.01 to 3600 seconds", "60"),
    ),
    "drain": (
        Option("kind", "instance, backend_server, data_centre", None),
        Option("target", "a name", None),
    ),
}


@dataclass(slots=True)
class SectionReader:
    """Reads typed values from one section and records the problems found."""

    title: str
    body: Section
    problems: list[Problem]
    options: dict[str, Option] = field(default_factory=dict)
    rules: DocumentRules = OWN_RULES

    @property
    def name(self) -> str:
        """The full name, which is the title's unless the section has another."""
        return self.body.get(FULL_NAME.key) or self.title.partition(" ")[2]

    def text(self, key: str) -> str:
        """Return a value or its default; record a problem if there is neither."""
        option = self.options[key]
        value = self.body.get(key, option.default)
        if value is None:
            self.reject(key, "")
            return ""
        return value.strip()

    def reject(self, key: str, value: str, accepted: str | None = None) -> None:
        """Record that a value is not accepted.

        Args:
            key: The option.
            value: Its value, empty if it is missing.
            accepted: Which values are accepted; by default those of the option.
        """
        shown = accepted or self.options[key].accepted
        self.problems.append(Problem(self.title, key, value, shown))

    def number(self, key: str, low: float, high: float) -> float:
        """Return a number from ``low`` to ``high``, both included.

        ``high`` binds only documents of the own interface.
        """
        return self.parse_in_range(key, float, low, high)

    def integer(self, key: str, low: int, high: int) -> int:
        """Return an integer from ``low`` to ``high``, both included.

        ``high`` binds only documents of the own interface.
        """
        return int(self.parse_in_range(key, int, low, high))

    def parse_in_range(
        self, key: str, parse: Callable[[str], float], low: float, high: float
    ) -> float:
        """Return a parsed value, or the nearest one with a problem if out of range."""
        match self.rules:
            case OwnRules():
                pass
            case TranslatedRules():
                high = MAX_INTEGER
        text = self.text(key)
        if not text:
            if key in self.body:
                self.reject(key, text)
            return low
        try:
            value = parse(text)
        except ValueError:
            self.reject(key, text)
            return low
        if not low <= value <= high:
            self.reject(key, text)
            return high if value > high else low
        return value

    def choice(self, key: str, kind: type[EnumType]) -> EnumType:
        """Return a member of an enumeration, the first one if there is a problem."""
        text = self.text(key)
        for member in kind:
            if member.value == text:
                return member
        if text:
            self.reject(key, text)
        return next(iter(kind))

    def flag(self, key: str) -> bool:
        """Return whether the value is yes; record a problem unless it is yes or no."""
        text = self.text(key)
        if text not in ("yes", "no"):
            self.reject(key, text)
        return text == "yes"

    def items(self, key: str) -> tuple[str, ...]:
        """Return the items of a list separated by commas, without empty ones."""
        parts = (part.strip() for part in self.text(key).split(","))
        return tuple(part for part in parts if part)

    def reference(self, key: str, known: set[str], kind: str) -> str:
        """Return a name; record a problem if it is not one of the known names.

        Args:
            key: The option.
            known: The names that exist.
            kind: What the name stands for, for the text of the problem.
        """
        text = self.text(key)
        if text and text not in known:
            self.reject(key, text, f"the name of an existing {kind}")
        return text


def is_full_name(text: str) -> bool:
    """Return whether a text can be a section's full name in the own interface.

    Example:
        >>> is_full_name("Shop & Co"), is_full_name("a" + chr(10)), is_full_name(" a")
        (True, False, False)
    """
    return len(text) <= MAX_FULL_NAME_LENGTH and is_header_value(text)


def is_header_value(text: str) -> bool:
    """Return whether a text arrives unchanged as the value of a header.

    Example:
        >>> is_header_value("n" * 5000), is_header_value("a "), is_header_value("")
        (True, False, False)
    """
    if not text or text != text.strip():
        return False
    return not any(char < " " or char == "\x7f" for char in text)
