"""Test that log lines are bounded and never wait for their reader."""

import json
import os
from collections.abc import Iterator

import pytest

from papayapier import events
from papayapier.logs import LINES_PER_S, BoundedHandler, LineBuffer


class Reactor:
    """Note who waits for room."""

    def __init__(self) -> None:
        self.waiting: list[object] = []

    def addWriter(self, writer: object) -> None:  # noqa: N802
        self.waiting.append(writer)

    def removeWriter(self, writer: object) -> None:  # noqa: N802
        self.waiting.remove(writer)


class World:
    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        self.reactor = Reactor()
        self.now_ms = 0
        self.out = LineBuffer(self.writer, self.reactor, limit=200_000)
        self.handler = BoundedHandler(self.out, 0, lambda: self.now_ms)
        self.handler.formatter = events.format_json

    def read(self) -> list[dict[str, object]]:
        """Read all there is, as a reader that has come back."""
        os.set_blocking(self.reader, False)
        text = b""
        while True:
            try:
                text += os.read(self.reader, 65_536)
            except BlockingIOError:
                if not self.reactor.waiting:
                    return [json.loads(line) for line in text.splitlines()]
                self.out.doWrite()


@pytest.fixture
def world() -> Iterator[World]:
    made = World()
    with made.handler.applicationbound():
        yield made
    os.close(made.reader)
    os.close(made.writer)


def flood(world: World, seconds: int, a_second: int) -> None:
    for second in range(seconds):
        world.now_ms = second * 1_000
        for number in range(a_second):
            events.emit(events.REQUEST_ENDED, request=f"{second}-{number}", filler="x" * 200)


def test_a_reader_that_does_not_read_costs_lines_and_no_time(world: World) -> None:
    # Symptom: every request stands still. Events: whoever reads the lines pauses; the pipe
    # fills. Cause: a write to a full pipe waits.
    flood(world, seconds=10, a_second=200)
    assert world.reactor.waiting
    assert world.out.waiting() > 0
    lines = world.read()
    assert 0 < len(lines) < 2_000
    assert not world.reactor.waiting
    world.now_ms = 60_000
    events.emit(events.READY)
    told = next(line for line in world.read() if line["event"] == events.LINES_LEFT_OUT.number)
    assert told["unread"] == 2_000 - len(lines)


def test_a_flood_of_one_event_leaves_room_for_others(world: World) -> None:
    flood(world, seconds=1, a_second=LINES_PER_S + 50)
    events.emit(events.READY)
    events.emit(events.UNHANDLED_ERROR, error="e")
    lines = world.read()
    numbers = [line["event"] for line in lines]
    assert numbers.count(events.REQUEST_ENDED.number) == LINES_PER_S
    assert events.READY.number in numbers
    assert events.UNHANDLED_ERROR.number in numbers
    world.now_ms = 5_000
    events.emit(events.READY)
    told = next(line for line in world.read() if line["event"] == events.LINES_LEFT_OUT.number)
    assert told["by_event"] == {str(events.REQUEST_ENDED.number): 50}


def test_lines_are_whole_after_a_pause(world: World) -> None:
    flood(world, seconds=4, a_second=200)
    first = world.read()
    flood(world, seconds=1, a_second=10)
    assert [line["name"] for line in first] == ["request_ended"] * len(first)


def test_a_reader_that_has_gone_costs_nothing(world: World) -> None:
    os.close(world.reader)
    flood(world, seconds=1, a_second=10)
    assert world.out.waiting() == 0
    world.reader, writer = os.pipe()
    os.close(writer)
