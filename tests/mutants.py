"""Deliberate faults in the accounting of limits, which the tests must detect."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rhubarbspan.systems import admission, bucketing, delegations


@dataclass(frozen=True, slots=True)
class Mutant:
    """A fault: an attribute of a module and the value that replaces it."""

    name: str
    module: Any
    attribute: str
    value: Any


def _keep_shares(original: Callable[..., None]) -> Callable[..., None]:
    """Return a refill that extends shares so that they never expire."""

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
