"""Test that log lines are bounded and that writing them never blocks."""

import json
import os
from collections.abc import Iterator

import pytest

from papayapier import events
from papayapier.logs import MAX_LINES_PER_S, BoundedHandler, LineBuffer


class FakeReactor:
    """Record the descriptors that are polled for writing."""

    def __init__(self) -> None:
        self.writers: list[object] = []

    def addWriter(self, writer: object) -> None:  # noqa: N802
        self.writers.append(writer)

    def removeWriter(self, writer: object) -> None:  # noqa: N802
        self.writers.remove(writer)


class LogPipe:
    """Hold a handler that logs to a pipe, and read the other end of the pipe."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        self.reactor = FakeReactor()
        self.now_ms = 0
        self.out = LineBuffer(self.writer, self.reactor, limit=200_000)
        self.handler = BoundedHandler(self.out, 0, lambda: self.now_ms)
        self.handler.formatter = events.format_json

    def read(self) -> list[dict[str, object]]:
        """Read all lines, as a reader that resumes after a pause."""
        os.set_blocking(self.reader, False)
        text = b""
        while True:
            try:
                text += os.read(self.reader, 65_536)
            except BlockingIOError:
                if not self.reactor.writers:
                    return [json.loads(line) for line in text.splitlines()]
                self.out.doWrite()


@pytest.fixture
def log_pipe() -> Iterator[LogPipe]:
    made = LogPipe()
    with made.handler.applicationbound():
        yield made
    os.close(made.reader)
    os.close(made.writer)


def emit_requests(log_pipe: LogPipe, seconds: int, per_second: int) -> None:
    for second in range(seconds):
        log_pipe.now_ms = second * 1_000
        for number in range(per_second):
            events.emit(events.REQUEST_ENDED, request=f"{second}-{number}", filler="x" * 200)


def test_paused_reader_does_not_block_writes(log_pipe: LogPipe) -> None:
    """Guard against requests that stall when the reader of the log pauses.

    The pipe fills up then, and a blocking write to it would stop the process.
    """
    emit_requests(log_pipe, seconds=10, per_second=200)
    assert log_pipe.reactor.writers
    assert log_pipe.out.buffered_count() > 0
    lines = log_pipe.read()
    assert 0 < len(lines) < 2_000
    assert not log_pipe.reactor.writers
    log_pipe.now_ms = 60_000
    events.emit(events.READY)
    report = next(line for line in log_pipe.read() if line["event"] == events.LINES_LEFT_OUT.number)
    assert report["unread"] == 2_000 - len(lines)


def test_flood_of_one_event_does_not_displace_other_events(log_pipe: LogPipe) -> None:
    """Guard against a flood of one event that hides others and uses up the processor."""
    emit_requests(log_pipe, seconds=1, per_second=MAX_LINES_PER_S + 50)
    events.emit(events.READY)
    events.emit(events.UNHANDLED_ERROR, error="e")
    lines = log_pipe.read()
    numbers = [line["event"] for line in lines]
    assert numbers.count(events.REQUEST_ENDED.number) == MAX_LINES_PER_S
    assert events.READY.number in numbers
    assert events.UNHANDLED_ERROR.number in numbers
    log_pipe.now_ms = 5_000
    events.emit(events.READY)
    report = next(line for line in log_pipe.read() if line["event"] == events.LINES_LEFT_OUT.number)
    assert report["by_event"] == {str(events.REQUEST_ENDED.number): 50}


def test_lines_are_complete_after_a_pause_of_the_reader(log_pipe: LogPipe) -> None:
    """Guard against truncated lines where the full pipe accepted only a part of a line."""
    emit_requests(log_pipe, seconds=4, per_second=200)
    first = log_pipe.read()
    emit_requests(log_pipe, seconds=1, per_second=10)
    assert [line["name"] for line in first] == ["request_ended"] * len(first)


def test_lines_are_dropped_after_the_reader_closes_the_pipe(log_pipe: LogPipe) -> None:
    """Guard against lines that stay buffered although nobody can read them any more."""
    os.close(log_pipe.reader)
    emit_requests(log_pipe, seconds=1, per_second=10)
    assert log_pipe.out.buffered_count() == 0
    log_pipe.reader, writer = os.pipe()
    os.close(writer)
