"""Test that only complete events are passed on, unchanged, and that their ids are tracked."""

import time
from collections.abc import Callable
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from papayapier.upstream.event_splitter import MAX_EVENT_BYTES, EventSplitter, parse_events
from papayapier.upstream.sse import StreamReader

STREAM = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 8))


@settings(deadline=None)
@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_any_split_of_the_bytes_gives_the_same_stream(positions: list[int]) -> None:
    """The result must not depend on how the network splits the bytes."""
    splitter = EventSplitter()
    edges = [0, *sorted(positions), len(STREAM)]
    parts = [STREAM[a:b] for a, b in pairwise(edges)]
    out = b"".join(splitter.feed(part) or b"" for part in parts)
    assert out == STREAM
    assert splitter.last_id == 7


def test_partial_event_is_dropped_when_the_stream_is_interrupted() -> None:
    """A resumed stream must contain no partial and no duplicate event.

    A replica fails in the middle of event 3, and another one continues after event 2.
    """
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda") == (
        b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    )
    assert splitter.last_id == 2
    splitter.discard_partial()
    assert splitter.feed(b"id: 3\ndata: c\n\n") == b"id: 3\ndata: c\n\n"


@pytest.mark.parametrize(
    ("data", "last"),
    [
        (b"data: a\n\n", -1),
        (b"data: id: 9\n\n", -1),
        (b"id: 4\r\ndata: a\r\n\r\n", 4),
        (b"data: a\nid: 5\n\n", 5),
        (b"id: x\ndata: a\n\n", -1),
    ],
)
def test_ids_are_read_from_their_own_field(data: bytes, last: int) -> None:
    """An id in the data, or one that is not a number, must not be treated as an event id."""
    splitter = EventSplitter()
    assert splitter.feed(data) == data
    assert splitter.last_id == last


@pytest.mark.parametrize(
    ("data", "progress"),
    [
        (b"id: 1\ndata: a\n\n", 1),
        (b"data: a\r\n\r\n", 1),
        (b"id: 1\ndata: a\n", 0),
        (b"\n\n\n\n", 0),
        (b": data: a\n\n", 0),
        (b"id: 1\n\n", 0),
    ],
)
def test_only_whole_events_with_data_are_progress(data: bytes, progress: int) -> None:
    """Bytes of which nobody can use anything must not keep a stream at its replica."""
    splitter = EventSplitter()
    splitter.feed(data)
    assert splitter.progress == progress


def test_an_endless_event_is_refused() -> None:
    """An event without an end must not exhaust the memory."""
    assert EventSplitter().feed(b"data: " + b"x" * (MAX_EVENT_BYTES + 1)) is None


def test_events_with_several_data_lines_are_joined() -> None:
    """Data lines of one event are joined, and comments are skipped."""
    events = parse_events(b"id: 1\ndata: a\ndata: b\n\n: comment\n\nid: 2\ndata:c\n\n")
    assert [(event.id, event.data) for event in events] == [(1, "a\nb"), (2, "c")]


def read_bytewise(feed: Callable[[bytes], object], size: int) -> float:
    """Feed an event that does not end byte by byte; return the processor time in seconds."""
    began_s = time.process_time()
    for _ in range(size):
        feed(b"x")
    return time.process_time() - began_s


@pytest.mark.parametrize("reader", ["forwarded stream", "stream of an engine"])
def test_the_cost_of_an_event_grows_with_its_size_only(reader: str) -> None:
    # Symptom: an entry serves nobody for seconds, and requests run out of their time.
    # Sequence: a replica sends an event in chunks of a byte.
    # Cause: each chunk was joined to all before it, and the whole was searched again.
    def make_feed() -> Callable[[bytes], object]:
        if reader == "forwarded stream":
            return EventSplitter().feed
        stream = StreamReader("r", lambda _token: None)
        return lambda data: stream.feed(data, 0)

    short_s = min(read_bytewise(make_feed(), 20_000) for _ in range(3))
    long_s = min(read_bytewise(make_feed(), 160_000) for _ in range(3))
    # Eight times the bytes took some forty times as long.
    assert long_s < 16 * short_s
