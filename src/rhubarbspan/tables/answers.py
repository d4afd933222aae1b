"""The table of look-up answers, prepared ahead of the look-ups."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class TargetRow:
    """One entry instance in a look-up answer."""

    seat: str
    address: str
    weight: float


@dataclass(slots=True)
class AnswerRow:
    """The look-up answer for one pool and one region of callers.

    Attributes:
        targets: Instances in order of preference.
        lifetime_s: How long a caller may use the answer.
    """

    pool: str
    region: str
    targets: list[TargetRow]
    lifetime_s: float


@dataclass(slots=True)
class PlanRow:
    """How a region's requests for a pool are divided over the serving regions.

    Attributes:
        region: Region of the callers.
        fractions: Fraction of the requests, by serving region.
        no_slots_since_s: Since when the region has reported no usable slot, or None if
            it reports some.
    """

    pool: str
    region: str
    fractions: dict[str, float]
    planned_s: float
    no_slots_since_s: float | None = None


@dataclass(slots=True)
class Answers:
    """Answers and plans by pool and region."""

    answers: dict[tuple[str, str], AnswerRow] = field(default_factory=dict)
    plans: dict[tuple[str, str], PlanRow] = field(default_factory=dict)
