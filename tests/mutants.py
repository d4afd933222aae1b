"""Deliberate faults in decisions, which the checks must catch."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rhubarbspan.systems import admission, bucketing, delegations


@dataclass(frozen=True, slots=True)
class Mutant:
    """A fault: what to replace in a module, and by what."""

    name: str
    module: Any
    attribute: str
    value: Any


def _keep_shares(original: Callable[..., None]) -> Callable[..., None]:
    """Let the bucket be refilled from expired shares."""

    def refill(bucket: Any, now_s: float) -> None:
        for share in bucket.shares.values():
            share.until_s = max(share.until_s, now_s + 10.0)
        original(bucket, now_s)

    return refill


MUTANTS = (
    Mutant("home-resumes-at-once", delegations, "lender_term_s", lambda term_s: 0.2),
    Mutant("loans-do-not-count", bucketing, "n_lent", lambda bucket: 0),
    Mutant("lapsed-shares-mint", admission, "refill", _keep_shares(bucketing.refill)),
    Mutant("tokens-spent-twice", admission, "spend_token", lambda bucket, now_s: True),
)
