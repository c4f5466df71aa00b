"""Test that batch jobs are accepted once, and that their results are never denied or moved."""

import pytest
from result import Err, Ok

from papayapier.errors import ErrorKind, Outcome
from papayapier.jobs.commits import Written
from papayapier.jobs.desk import READ_VALID_MS
from papayapier.jobs.records import ItemResult, groups_prefix, job_key, read_record
from papayapier.store.api import StoreError
from tests.jobs_world import JOB, DeskWorld, MemoryStore, group, item

ITEMS = (item("a"), item("b"))


def names(results: list[ItemResult]) -> list[str]:
    return [one.id for one in results]


def test_a_job_sent_again_elsewhere_is_accepted_again_and_kept_once() -> None:
    one = DeskWorld()
    other = DeskWorld(one.memory)
    for world in (one, other, one):
        submitted = world.begin(world.desk.submit(JOB, "h", "/j", ITEMS, 1_000))
        assert submitted.end() == Ok(None)
    assert [key for key in one.memory.objects if key.startswith("papayapier-jobs")] == [
        job_key(JOB)
    ]


def test_a_lost_write_that_took_effect_is_accepted() -> None:
    world = DeskWorld()
    lost = iter([StoreError.LOST])
    world.memory.fault = lambda call, _key: next(lost, None) if call == "create" else None
    assert world.begin(world.desk.submit(JOB, "h", "/j", ITEMS, 1_000)).end() == Ok(None)


def test_a_write_of_unknown_fate_is_neither_accepted_nor_refused() -> None:
    # Symptom: items run of a job whose every submission was answered "not run".
    # Events: the write of the record is lost; the store stays silent until the answer is due;
    # the record turns up later. Cause: the refusal did not know what it promised.
    world = DeskWorld()
    world.memory.fault = lambda call, _key: (
        StoreError.LOST if call == "create" else StoreError.UNAVAILABLE
    )
    begun = world.begin(world.desk.submit(JOB, "h", "/j", ITEMS, 1_000))
    for _ in range(40):
        world.time.advance(100)
    ended = begun.end()
    assert isinstance(ended, Err)
    assert ended.err_value.outcome is Outcome.UNKNOWN


def test_a_store_that_is_away_is_a_true_refusal() -> None:
    world = DeskWorld()
    world.memory.fault = lambda _call, _key: StoreError.UNAVAILABLE
    ended = world.begin(world.desk.submit(JOB, "h", "/j", ITEMS, 1_000)).end()
    assert isinstance(ended, Err)
    assert ended.err_value.outcome is Outcome.NOT_RUN
    assert ended.err_value.kind is ErrorKind.STORE_UNAVAILABLE


def test_large_jobs_are_split_and_read_whole() -> None:
    world = DeskWorld()
    items = tuple(item(f"i{n}", "A" * 200_000) for n in range(9))
    assert world.begin(world.desk.submit(JOB, "h", "/j", items, 1_000)).end() == Ok(None)
    assert all(len(value) < 1_000_000 for _, value in world.memory.objects.values())
    other = DeskWorld(world.memory)
    assert other.begin(other.desk.item(JOB, "i8")).end() == Ok(items[8])


def test_a_missing_job_is_denied_only_if_the_store_says_so() -> None:
    world = DeskWorld()
    missing = world.begin(world.desk.results(JOB, 0, 0)).end()
    assert isinstance(missing, Err)
    assert missing.err_value.kind is ErrorKind.NOT_FOUND
    world.memory.fault = lambda _call, _key: StoreError.UNAVAILABLE
    unsure = world.begin(world.desk.results(JOB, 0, 0)).end()
    assert isinstance(unsure, Err)
    assert unsure.err_value.kind is ErrorKind.STORE_UNAVAILABLE


def test_a_late_reader_sees_all_groups_at_once() -> None:
    # Symptom: a position that another instance had shown seconds ago is answered as empty.
    # Events: several groups are stored; an instance reads the first; the next read of the
    # same call was put off. Cause: a look that had found a group was taken for one that had
    # found none.
    world = DeskWorld()
    world.has_job("a", "b", "c", "d")
    for number, name in enumerate("abc"):
        world.has_group(number, name)
    page = world.begin(world.desk.results(JOB, 2, 0)).end().unwrap()
    assert names(page.results) == ["c"]
    assert page.total == 4


def test_a_look_under_way_does_not_stand_for_an_answer() -> None:
    # Symptom: as above, where two callers read the same job at the same time.
    # Events: the first read's look is on its way; the second read takes it for an answer
    # and tells its caller that there is nothing. Cause: the time was noted before the answer.
    world = DeskWorld()
    world.has_job("a", "b")
    world.begin(world.desk.results(JOB, 0, 0)).end()
    world.time.advance(2_000)
    world.has_group(0, "a")
    world.memory.hold = True
    reads = [world.begin(world.desk.results(JOB, 0, 0)) for _ in range(2)]
    world.memory.hold = False
    world.memory.release()
    for read in reads:
        assert names(read.end().unwrap().results) == ["a"]


def test_a_waiting_read_ends_when_a_peer_tells_of_a_group() -> None:
    world = DeskWorld()
    world.has_job("a")
    waiting = world.begin(world.desk.results(JOB, 0, 1_000))
    world.time.advance(100)
    assert not waiting
    world.has_group(0, "a")
    world.desk.on_groups(JOB, 1)
    assert names(waiting.end().unwrap().results) == ["a"]


def test_a_waiting_read_costs_two_looks_when_nothing_comes() -> None:
    # Before: five looks for each second of waiting, which were most calls to the store.
    world = DeskWorld()
    world.has_job("a")
    waiting = world.begin(world.desk.results(JOB, 0, 1_000))
    for _ in range(21):
        world.time.advance(50)
    assert waiting.end().unwrap().results == []
    assert len([call for call in world.memory.calls if "results" in call]) == 2


@pytest.mark.parametrize("times", [1, 2])
def test_an_ended_job_stays_ended(times: int) -> None:
    world = DeskWorld()
    world.has_job("a", "b")
    for _ in range(times):
        assert world.begin(world.desk.end(JOB, 1_000)).end() == Ok(None)
    stored = read_record(world.memory.objects[job_key(JOB)][1]).unwrap()
    assert stored.ended


def test_a_racing_end_and_resend_leave_one_ended_job() -> None:
    memory = MemoryStore()
    one, other = DeskWorld(memory), DeskWorld(memory)
    one.begin(one.desk.submit(JOB, "h", "/j", ITEMS, 1_000))
    ends = [world.begin(world.desk.end(JOB, 1_000)) for world in (one, other)]
    assert other.begin(other.desk.submit(JOB, "h", "/j", ITEMS, 1_000)).end() == Ok(None)
    assert [end.end() for end in ends] == [Ok(None), Ok(None)]
    assert read_record(memory.objects[job_key(JOB)][1]).unwrap().ended


def test_reading_again_and_again_looks_at_the_store_every_other_time() -> None:
    # Load: a caller waits for a job and reads twice a second, and no writer is heard.
    # Before: 20 looks in ten seconds, two thirds of all calls of a day. After: 11.
    world = DeskWorld()
    world.has_job("a", "b")
    for _ in range(20):
        reading = world.begin(world.desk.results(JOB, 0, 500))
        for _ in range(11):
            world.time.advance(50)
        assert isinstance(reading.end(), Ok)
    looks = [call for call in world.memory.calls if call.startswith("list")]
    assert len(looks) <= 12
    # What another instance has shown a second before is shown here, whenever that was.
    world.has_group(0, "a")
    world.time.advance(1_000)
    reading = world.begin(world.desk.results(JOB, 0, 0))
    page = reading.end().unwrap()
    assert names(page.results) == ["a"]


def test_a_group_of_ones_own_is_not_read_back() -> None:
    # Symptom: of 2,668 calls to the store on a calm day 1,001 are looks for results.
    # Cause: whoever writes a group read it from the store before it showed it.
    world = DeskWorld()
    world.has_job("a", "b", "c")
    assert world.begin(world.desk.results(JOB, 0, 0)).end().unwrap().results == []
    waiting = world.begin(world.desk.results(JOB, 0, 1_000))
    world.time.advance(500)
    looks = world.memory.calls.count(f"list {groups_prefix(JOB)}")
    world.has_group(0, "a")
    world.desk.on_written(JOB, Written(0, group("a"), world.time.clock.now()))
    assert names(waiting.end().unwrap().results) == ["a"]
    # The write shows that there was nothing after it, as a look does.
    world.time.advance(READ_VALID_MS - 1)
    assert world.begin(world.desk.results(JOB, 1, 0)).end().unwrap().results == []
    assert world.memory.calls.count(f"list {groups_prefix(JOB)}") == looks
    # Another may write as well: what was written elsewhere is seen by the next look.
    world.has_group(1, "b")
    world.time.advance(2)
    assert names(world.begin(world.desk.results(JOB, 1, 0)).end().unwrap().results) == ["b"]


def test_a_group_after_one_that_is_not_known_is_read() -> None:
    world = DeskWorld()
    world.has_job("a", "b", "c")
    world.begin(world.desk.results(JOB, 0, 0)).end()
    world.has_group(0, "a")
    world.has_group(1, "b")
    world.desk.on_written(JOB, Written(1, group("b"), world.time.clock.now()))
    assert names(world.begin(world.desk.results(JOB, 0, 0)).end().unwrap().results) == ["a", "b"]
