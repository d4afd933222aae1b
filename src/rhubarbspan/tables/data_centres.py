"""The table of the demand in the other data centres, one row for each."""

from dataclasses import dataclass, field

from ..peer_messages import InFlight


@dataclass(slots=True)
class DataCentreRow:
    """The demand in one data centre, as its relays summarise it.

    Attributes:
        as_of_s: When the newest summary was made, or before any time if there is none.
        demands: Smoothed rate of requests, by account.
        unheard_s: When a relay of it told last that it misses the own figures.
        confirmed_s: Up to when it is known to have heard the own data centre's figures.
        passed_on_s: When another instance of the own data centre passed on a summary.
        in_flight: Requests of its instances at backend servers, or None if not told.
        in_flight_s: When the summary that told them was made.
        direct_s: As ``as_of_s``, of summaries that no third data centre has passed on.
        missed: Data centres of which it gets no summaries from themselves.
    """

    name: str
    as_of_s: float = -1e9
    passed_on_s: float = -1e9
    demands: dict[str, float] = field(default_factory=dict)
    confirmed_s: float = -1e9
    unheard_s: float = -1e9
    in_flight: InFlight | None = None
    in_flight_s: float = -1e9
    direct_s: float = -1e9
    missed: frozenset[str] = frozenset()


@dataclass(slots=True)
class DataCentres:
    """Rows by data centre.

    Attributes:
        sent_demands: Demands in the summaries that this instance sent, by account.
    """

    rows: dict[str, DataCentreRow] = field(default_factory=dict)
    sent_demands: dict[str, float] = field(default_factory=dict)

    def get_or_create(self, name: str) -> DataCentreRow:
        """Return the row of a data centre; create it if it is missing."""
        return self.rows.setdefault(name, DataCentreRow(name))
