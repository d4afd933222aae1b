"""The table of backend server slots that are lent and borrowed."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class LentSlotRow:
    """A slot of a server that this instance owns, lent to another instance."""

    loan_id: int
    server_id: str
    pool: str
    borrower: str
    until_s: float


@dataclass(slots=True)
class BorrowedSlotRow:
    """A slot of a server that another instance owns, lent to this one.

    Attributes:
        request_id: The request that holds the slot, or None.
        was_shed: Whether the server shed the request that held it.
    """

    loan_id: int
    owner: str
    owner_incarnation: int
    server_id: str
    address: str
    pool: str
    region: str
    until_s: float
    request_id: int | None = None
    was_shed: bool = False


@dataclass(slots=True)
class SlotRequestRow:
    """A request for slots of another instance that waits for the grant."""

    number: int
    owner: str
    pool: str
    n_slots: int
    until_s: float


@dataclass(slots=True)
class SlotLoans:
    """Slots that are lent and borrowed, and open requests for slots.

    Attributes:
        lent: Lent slots by number of the loan.
        borrowed: Borrowed slots by the owner's seat, its incarnation and the number of
            the loan.
        requests: Open requests by number.
        backoff_until_s: When an owner that had too few slots to spare may be asked
            again, by pool and the owner's seat.
        n_loans: Number of the newest loan to another instance.
        n_requests: Number of the newest request.
    """

    lent: dict[int, LentSlotRow] = field(default_factory=dict)
    borrowed: dict[tuple[str, int, int], BorrowedSlotRow] = field(default_factory=dict)
    requests: dict[int, SlotRequestRow] = field(default_factory=dict)
    backoff_until_s: dict[tuple[str, str], float] = field(default_factory=dict)
    n_loans: int = 0
    n_requests: int = 0
