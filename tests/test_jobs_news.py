"""Test that reads spare the store only while no word of a new group can have been missed."""

from collections.abc import Callable

import pytest

from papayapier.jobs.news import (
    CONFIRMATION_VALID_MS,
    FORGET_WRITER_MS,
    MAX_WRITE_MS,
    GroupsHeard,
    GroupsTold,
)
from papayapier.peer.messages import NOT_SURE, Heartbeat
from tests.jobs_world import JOB, DeskWorld

BEAT_MS = 200


class World:
    """Play writers and one reader; a lost word is counted and not heard."""

    def __init__(self, *writers: str) -> None:
        self.now = 0
        self.told = {writer: GroupsTold() for writer in writers}
        self.boots = dict.fromkeys(writers, 1)
        self.cut: set[str] = set()
        self.live: set[str] = set()
        self.heard = GroupsHeard(lambda: self.told, lambda: self.live)

    def word(self, writer: str, lost: bool = False) -> None:
        word = self.told[writer].word("job", 1, self.now)
        if not lost:
            self.heard.on_word(writer, word.number)

    def beats(self, times: int = 1) -> None:
        for _ in range(times):
            self.now += BEAT_MS
            for writer, told in self.told.items():
                if writer not in self.cut:
                    beat = Heartbeat(writer, self.boots[writer], "serving", 1)
                    beat = beat._replace(groups_told=told.count(self.now))
                    self.heard.on_heartbeat(writer, beat, self.now)

    def restart(self, writer: str) -> None:
        self.boots[writer] += 1
        self.told[writer] = GroupsTold()

    def stands(self, looked_ms: int) -> bool:
        return self.heard.stands(looked_ms, self.now)


def test_a_look_stands_while_every_word_is_heard() -> None:
    world = World("a", "b")
    world.beats(3)
    looked_ms = world.now
    for _ in range(50):
        world.word("a")
        world.beats()
        assert world.stands(looked_ms)


def lose_a_word(world: World) -> None:
    world.word("a", lost=True)
    world.beats()


def fall_silent(world: World) -> None:
    world.cut.add("a")
    world.beats(CONFIRMATION_VALID_MS // BEAT_MS)


def begin_anew(world: World) -> None:
    world.restart("a")
    world.beats()


def doubt_a_write(world: World) -> None:
    world.told["a"].begin("job", world.now)
    world.beats((MAX_WRITE_MS + CONFIRMATION_VALID_MS) // BEAT_MS + 1)


def add_a_writer(world: World) -> None:
    world.told["c"] = GroupsTold()
    world.boots["c"] = 1


@pytest.mark.parametrize(
    "event", [lose_a_word, fall_silent, begin_anew, doubt_a_write, add_a_writer]
)
def test_a_look_stands_no_longer(event: Callable[[World], None]) -> None:
    # Symptom: a read shows nothing at a position that a caller has read elsewhere a second ago.
    # Events: a word is lost, or a writer is silent, new, or in doubt about its write.
    # Cause: what was not heard was taken for what is not there.
    world = World("a", "b")
    world.beats(3)
    looked_ms = world.now
    assert world.stands(looked_ms)
    event(world)
    assert not world.stands(looked_ms)


def test_a_look_after_a_missed_word_stands_again() -> None:
    world = World("a")
    world.beats(3)
    lose_a_word(world)
    world.beats(2)
    assert world.stands(world.now)
    world.word("a")
    world.beats()
    assert world.stands(world.now - BEAT_MS)


def test_words_that_heartbeats_carry_are_heard() -> None:
    # In a large fleet no message of their own carries them, and a heartbeat may be lost.
    world = World("a")
    world.beats(3)
    looked_ms = world.now
    told = world.told["a"]
    for lost in (False, True, False):
        told.word("job", 1, world.now)
        world.now += BEAT_MS
        beat = Heartbeat("a", 1, "serving", 1, words=told.last(world.now))
        beat = beat._replace(groups_told=told.count(world.now))
        if not lost:
            world.heard.on_heartbeat("a", beat, world.now)
    assert world.stands(looked_ms)


def test_a_write_whose_end_is_known_is_no_doubt() -> None:
    told = GroupsTold()
    told.begin("job", 0)
    assert told.count(MAX_WRITE_MS) == 0
    told.begin("job", MAX_WRITE_MS)
    assert told.count(MAX_WRITE_MS + 1) == NOT_SURE
    told.end("job")
    assert told.count(MAX_WRITE_MS + 1) == 0


def test_a_writer_that_is_gone_for_good_is_forgotten() -> None:
    world = World("a", "b")
    world.beats(3)
    world.cut.add("a")
    world.beats(FORGET_WRITER_MS // BEAT_MS + 1)
    assert world.stands(world.now)
    del world.told["b"]
    assert not world.stands(world.now)


def test_nobody_to_hear_of_means_looking() -> None:
    assert not World().stands(0)


def test_reads_spare_the_store() -> None:
    # Load: a caller reads a job twice a second for 20 s and there is nothing new.
    # Before: each read asked the store. After: the first one does.
    world = DeskWorld()
    world.writers.append("a")
    world.has_job("a", "b")
    for number in range(100):
        beat = Heartbeat("a", 1, "serving", 1, groups_told=0)
        world.heard.on_heartbeat("a", beat, world.time.clock.now())
        world.time.advance(BEAT_MS)
        if number % 3 == 2:
            assert world.begin(world.desk.results(JOB, 0, 0)).end().unwrap().results == []
    assert len(world.memory.calls) <= 3


def test_a_writer_that_lives_and_is_never_heard_counts() -> None:
    # Symptom: a result that one entry has shown is denied by another 15 s later.
    # Events: in a fleet of many keepers an entry hears the hubs only; after twenty seconds the
    # others were taken for lost, and looks at the store stood by the word of the hubs alone.
    world = World("hub", "other")
    world.cut = {"other"}
    world.live = {"hub", "other"}
    world.beats(FORGET_WRITER_MS // BEAT_MS + 10)
    assert not world.stands(world.now - BEAT_MS)
    # Known to be lost, it counts for twenty seconds more.
    world.live = {"hub"}
    assert not world.stands(world.now - BEAT_MS)
    world.beats(FORGET_WRITER_MS // BEAT_MS + 10)
    assert world.stands(world.now - BEAT_MS)
