"""Bounds the work that the framing of one message may cost beside its payload.

A parser's work grows with the pieces of a message (chunks, header lines, interim
responses) rather than with its bytes. A sender whose pieces are large, or come at a
human pace, is never held back. One with many small pieces is read more slowly, so that
it gets only a small part of the processor, and one whose pieces carry almost nothing is
given up.
"""

from dataclasses import dataclass

# Pieces of one message that cost nothing, whatever their size and pace.
N_FREE_PIECES = 2000
# Payload that pays for one piece more.
PAYLOAD_BYTES_PER_PIECE = 1024
# Pieces that each second of the exchange pays for: at some 20 microseconds a piece, 2%
# of the processor.
PIECES_PER_S = 1000.0
# A sender with less payload a piece is given up when it is ahead of this pace by more
# than this number of pieces.
MIN_PIECE_BYTES = 16
N_FREE_TINY_PIECES = 256
# Bytes of a stream without end that count as one piece more.
STREAM_BYTES_PER_PIECE = 4096
# Interim responses before a response.
N_MAX_INTERIM_RESPONSES = 8
# Header lines of one message.
N_MAX_HEADER_LINES = 256
# Pieces that are read in one turn; others run before the next turn.
N_PIECES_PER_TURN = 32


@dataclass(slots=True)
class PieceMeter:
    """The pieces of one message that were read.

    Attributes:
        started_s: When its first byte was expected.
        n_pieces: Pieces that were read.
        n_payload_bytes: Bytes of payload in them.
    """

    started_s: float
    n_pieces: int = 0
    n_payload_bytes: int = 0

    def record(self, n_payload_bytes: int = 0) -> None:
        """Count a piece with its payload."""
        self.n_pieces += 1
        self.n_payload_bytes += n_payload_bytes

    def is_turn_over(self) -> bool:
        """Return whether others should run before the next piece is read."""
        return self.n_pieces % N_PIECES_PER_TURN == 0

    def ends_turn(self) -> bool:
        """Return whether others should run after the next piece."""
        return (self.n_pieces + 1) % N_PIECES_PER_TURN == 0

    def delay_s(self, now_s: float) -> float:
        """Return how long to wait before the next piece is read."""
        n_paid = N_FREE_PIECES + self.n_payload_bytes / PAYLOAD_BYTES_PER_PIECE
        n_paid += (now_s - self.started_s) * PIECES_PER_S
        return max(0.0, (self.n_pieces - n_paid) / PIECES_PER_S)

    def is_excessive(self, now_s: float) -> bool:
        """Return whether the sender's pieces cost too much for what they carry."""
        if self.n_payload_bytes >= self.n_pieces * MIN_PIECE_BYTES:
            return False
        n_paid = N_FREE_TINY_PIECES + (now_s - self.started_s) * PIECES_PER_S
        return self.n_pieces > n_paid


@dataclass(slots=True)
class StreamMeter:
    """The pieces of a stream without end, of which all bytes are work.

    Attributes:
        read_s: When the last piece was read.
        n_ahead: Pieces by which the sender is ahead of the pace.
    """

    read_s: float
    n_ahead: float = 0.0

    def record(self, n_bytes: int, now_s: float) -> None:
        """Count a piece; a large one counts as several."""
        n_due = (now_s - self.read_s) * PIECES_PER_S
        n_pieces = 1 + n_bytes / STREAM_BYTES_PER_PIECE
        self.n_ahead = max(0.0, self.n_ahead - n_due) + n_pieces
        self.read_s = now_s

    def delay_s(self) -> float:
        """Return how long to wait before the next piece is read."""
        return max(0.0, (self.n_ahead - N_FREE_PIECES) / PIECES_PER_S)
