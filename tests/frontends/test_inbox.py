"""What is read ahead on a client's connection: kept requests come first, later ones are counted."""

from hypothesis import given
from hypothesis import strategies as st

from claycross.frontends.inbox import VALIDATED_AT_ONCE, Inbox
from claycross.net.http1 import End, Head, PipelineValidator
from tests.frontends.test_pipelining import request


def cut(data, sizes):
    """Splits the data into pieces of these sizes and a last one."""
    pieces = []
    for size in sizes:
        pieces.append(data[:size])
        data = data[size:]
    return [piece for piece in (*pieces, data) if piece]


def requests_kept(inbox):
    """The targets of the complete requests that the inbox holds; it holds nothing else."""
    targets = []
    while inbox.size():
        parts = inbox.next()
        while not (parts and isinstance(parts[-1], End)):
            parts += inbox.next_piece()
        assert isinstance(parts[0], Head) and isinstance(parts[-1], End)
        targets.append(parts[0].get("x-request-id"))
    return targets


def drop_further(inbox):
    """Lets the inbox keep nothing more, once what it keeps is validated."""
    for _ in inbox.validate():
        pass
    inbox.drop_further()


@given(
    bodies=st.lists(st.binary(max_size=30), min_size=1, max_size=8),
    sizes=st.lists(st.integers(1, 400), max_size=12),
    dropping_from=st.integers(0, 12),
    fed_first=st.integers(0, 1),
)
def test_each_request_is_kept_or_counted_however_the_bytes_are_split(
    bodies, sizes, dropping_from, fed_first
):
    """Guards against a request that is read ahead and lost where keeping ends (review case 10)."""
    keys = [f"key-{n}" for n in range(len(bodies))]
    data = b"".join(request(key, body) for key, body in zip(keys, bodies, strict=True))
    inbox = Inbox()
    inbox.feed(request("first"), 1)
    # Bytes behind a request may have come in the same read as its end.
    pieces = cut(data, sizes)
    for piece in pieces[:fed_first]:
        inbox.parser.buffer += piece
        inbox.receive_times.add(len(piece), 1)
    inbox.start_read_ahead()
    counted = 0
    for number, piece in enumerate(pieces[fed_first:]):
        if number == dropping_from:
            drop_further(inbox)
        inbox.buffer_ahead(piece, number + 2)
        assert inbox.oldest_received_at() <= number + 2
    kept = requests_kept(inbox) if inbox.dropping else keys
    if inbox.dropping:
        counted = inbox.take_dropped()
        assert inbox.must_reject() and inbox.stop_dropping()
    assert kept == keys[: len(kept)] and len(kept) + counted == len(keys)


def test_a_request_that_arrives_in_part_is_counted_once_it_is_complete():
    inbox = Inbox()
    inbox.feed(request("first"), 1)
    inbox.start_read_ahead()
    inbox.buffer_ahead(request("kept") + request("cut")[:50], 2)
    drop_further(inbox)
    assert requests_kept(inbox) == ["kept"] and inbox.must_reject()
    assert inbox.take_dropped() == 0 and not inbox.stop_dropping()
    inbox.feed_dropped(request("cut")[50:])
    assert inbox.take_dropped() == 1 and inbox.stop_dropping()
    assert inbox.empty()


@given(st.lists(st.binary(min_size=1, max_size=9000), min_size=1, max_size=6))
def test_bytes_are_validated_in_steps_as_in_one(pieces):
    inbox, validator = Inbox(), PipelineValidator()
    inbox.start_read_ahead()
    for number, piece in enumerate(pieces):
        inbox.buffer_ahead(piece, number + 1)
        validator.feed(piece)
    assert not inbox.malformed()  # nothing was validated yet
    steps = sum(1 for _ in inbox.validate())
    assert steps == sum(-(-len(piece) // VALIDATED_AT_ONCE) for piece in pieces)
    assert inbox.malformed() is validator.malformed
