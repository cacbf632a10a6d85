"""Received bytes of a client connection that have not been handled yet."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from ..net.http1 import Body, End, Head, MessageParser, PipelineValidator
from ..net.receive_timestamps import ReceiveTimestamps

# What the interpreter keeps for each, beside the bytes themselves.
RECORD_BYTES = 136
PIECE_BYTES = 48
VALIDATED_AT_ONCE = 4096  # bytes


class Inbox:
    """The unhandled bytes of a client connection, with their receive times and their parser.

    Requests behind the one under way are kept, unparsed, until their turn comes: the socket is then
    emptied at once, and the client's FIN seen, whatever they are made of. Once drop_further() was
    called, later ones are only counted, in the order in which they came: nothing of them runs, and
    each is to be rejected after the kept ones were answered.
    """

    def __init__(self) -> None:
        self.parser = MessageParser()
        self.receive_times = ReceiveTimestamps()
        self.pieces: deque[bytes] = deque()  # bytes that follow those in the parser's buffer
        self.pieces_size = 0
        # Has seen all kept bytes; None: some were kept or parsed without it.
        self.validator: PipelineValidator | None = None
        self.flooded = False  # many bytes waited unread behind the request under way
        self.dropping = False  # later requests are counted and not kept
        self.dropped_before = 0  # requests that the validator had seen when dropping began

    # ------------------------------------------------------------ the current request

    def idle(self) -> bool:
        """Return whether nothing of a message has been read."""
        return self.parser.idle() and not self.pieces

    def next(self) -> list[Head | Body | End]:
        """Return the parts of the next message that are in the parser already."""
        return self.parser.next()

    def next_piece(self) -> list[Head | Body | End]:
        """Parse one more piece that was read ahead; return the parts that are now complete."""
        piece = self.pieces.popleft()
        self.pieces_size -= len(piece)
        return self.parser.feed(piece)

    def feed(self, data: bytes, received_at: int) -> list[Head | Body | End]:
        """Add bytes to the current message; return its parts that are now complete."""
        self.validator = None
        self.receive_times.add(len(data), received_at)
        return self.parser.feed(data)

    # ------------------------------------------------------------ reading ahead

    def start_read_ahead(self) -> None:
        """Start reading ahead of another request."""
        self.flooded = False

    def buffer_ahead(self, data: bytes, received_at: int) -> None:
        """Add bytes of later messages; those after bytes known to be malformed are discarded."""
        if self.malformed():
            return
        if self.dropping:
            assert self.validator is not None, "drop_further() comes first"
            self.validator.feed(data)
            return
        self.validator = None
        self.receive_times.add(len(data), received_at)
        self.pieces.append(data)
        self.pieces_size += len(data)

    def validate(self) -> Iterator[None]:
        """Validate the kept bytes without consuming them, in steps of VALIDATED_AT_ONCE bytes."""
        if self.validator is not None:
            return
        validator = PipelineValidator()
        for piece in (self.parser.buffer, *self.pieces):
            for start in range(0, len(piece), VALIDATED_AT_ONCE):
                validator.feed(piece[start : start + VALIDATED_AT_ONCE])
                yield
        self.validator = validator

    def malformed(self) -> bool:
        """Return whether what was read ahead is known to be malformed."""
        return self.validator is not None and self.validator.malformed

    def empty(self) -> bool:
        """Return whether no bytes are buffered and no request is to be rejected."""
        return not (self.size() or self.dropping)

    def size(self) -> int:
        """Return the number of buffered bytes."""
        return len(self.parser.buffer) + self.pieces_size

    def held_bytes(self) -> int:
        """Return how much memory is held: buffered bytes, and what is kept with them."""
        records = len(self.receive_times.records) * RECORD_BYTES
        partial = len(self.parser.chunked_body.buffer)
        if self.validator is not None:
            partial += len(self.validator.messages.buffer)
        return self.size() + len(self.pieces) * PIECE_BYTES + records + partial

    def discard(self) -> None:
        """Free what is buffered; the connection is then to be closed."""
        self.parser = MessageParser()
        self.receive_times = ReceiveTimestamps()
        self.pieces.clear()
        self.pieces_size = 0
        self.validator = None
        self.dropping = False

    # ------------------------------------------------------------ requests that are not kept

    def drop_further(self) -> None:
        """Keep only the complete requests that were read ahead, and count all later ones."""
        assert self.validator is not None, "validate() comes first"
        if self.dropping or self.validator.malformed:
            return
        self.dropping = True
        self.dropped_before = self.validator.complete_messages
        self._truncate(self.validator.incomplete_bytes)

    def _truncate(self, size: int) -> None:
        """Discard the last `size` buffered bytes."""
        self.receive_times.discard(size)
        while size and self.pieces:
            piece = self.pieces.pop()
            rest = piece[: max(0, len(piece) - size)]
            self.pieces_size -= len(piece) - len(rest)
            size -= len(piece) - len(rest)
            if rest:
                self.pieces.append(rest)
        if size:
            self.parser.buffer = self.parser.buffer[:-size]

    def must_reject(self) -> bool:
        """Return whether the next request in turn is one that was not kept."""
        return self.dropping and not self.size()

    def feed_dropped(self, data: bytes) -> None:
        """Add bytes of the request that is arriving and not kept."""
        assert self.validator is not None, "drop_further() comes first"
        self.validator.feed(data)

    def take_dropped(self) -> int:
        """Return how many complete requests were not kept since the last call."""
        assert self.validator is not None, "drop_further() comes first"
        count = self.validator.complete_messages - self.dropped_before
        self.dropped_before = self.validator.complete_messages
        return count

    def stop_dropping(self) -> bool:
        """Keep requests again if none has arrived in part; return whether that is so."""
        assert self.validator is not None, "drop_further() comes first"
        if self.validator.incomplete_bytes:
            return False
        self.dropping = False
        self.validator = None
        return True

    # ------------------------------------------------------------ receive times

    def oldest_received_at(self) -> int:
        """Return when the first buffered byte was received; 0 if there is none."""
        return self.receive_times.oldest(self.size())

    def last_received_at(self) -> int:
        """Return when the last byte before the buffered ones was received; 0 if unknown."""
        return self.receive_times.before(self.size())
