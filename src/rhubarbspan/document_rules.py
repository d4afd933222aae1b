"""Rules for what a document may contain, by who has written it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OwnRules:
    """Rules of the product's own interface, whose users edit the document.

    A document with a problem is refused as a whole, and its author told.
    """


@dataclass(frozen=True, slots=True)
class TranslatedRules:
    """Rules for the translation of a document that another system has accepted.

    It was acknowledged before it is read here, so that each entry that can be used is.
    A value is bounded only by what the tables can hold.
    """


DocumentRules = OwnRules | TranslatedRules
OWN_RULES = OwnRules()
