"""Test which items run, which give way, and what becomes of their runs."""

from papayapier.jobs.runs import RETRY_DELAY_MS
from papayapier.policy.outliers import FAILURES_IN_A_ROW
from tests.jobs_run_world import FAR_MS, ROOM, RUN_MS, SLOTS, SOON_MS, World


def test_an_item_that_can_be_done_in_time_goes_first() -> None:
    world = World("lm")
    world.learn()
    world.job("hopeless", 5, SOON_MS)
    world.job("later", 5, FAR_MS)
    world.pump()
    assert sorted(world.sent) == [f"later-{n}" for n in range(ROOM)]


def test_late_items_run_where_nothing_else_waits() -> None:
    world = World("lm")
    world.learn()
    world.job("hopeless", 5, SOON_MS)
    world.pump()
    assert len(world.sent) == ROOM


def test_a_late_run_gives_its_slot_to_an_item_that_can_be_done_in_time() -> None:
    # Symptom: all results come just after they are due, though slots enough were there.
    # Events: items that have no chance took the slots before; a job with time enough comes.
    # Cause: a run kept its slot whatever became of it.
    world = World("lm")
    world.learn()
    world.job("hopeless", ROOM, SOON_MS)
    world.pump()
    world.job("later", 1, FAR_MS)
    world.pump()
    world.pump()
    assert "later-0" in world.sent
    assert len(world.sent) == ROOM


def test_a_full_upstream_holds_up_no_other() -> None:
    # Symptom: items of one service wait while its replicas idle.
    # Cause: the search for room ended at the first item that found none.
    world = World("lm", "app")
    world.job("many", 9, SOON_MS)
    world.job("other", 1, FAR_MS, "app")
    world.pump()
    assert "other-0" in world.sent


def test_the_run_with_the_most_time_gives_way() -> None:
    world = World("lm")
    world.job("urgent", 1, RUN_MS)
    world.job("patient", 1, FAR_MS)
    world.pump()
    assert len(world.sent) == 2
    for _ in range(SLOTS - 1):
        world.book.on_sent("lm-1", False, world.time.clock.now())
    world.pump()
    assert sorted(world.sent) == ["urgent-0"]


def test_a_whole_item_is_finished_once() -> None:
    world = World("lm")
    work = world.job("job", 1, FAR_MS)
    world.pump()
    world.end(work.items["job-0"])
    assert world.done == ["job"]
    assert list(work.unwritten) == ["job-0"]
    assert world.runs.count() == 0


def test_items_leave_an_ended_replica_alone() -> None:
    # Symptom: after the end of a replica nearly all runs of items fail for seconds, while other
    # replicas have room. Events: its address refuses connections until the list drops it.
    # Cause: a refused connection did not count against it, and it looked the emptiest of all.
    world = World("lm", replicas=4)
    world.closed = {"lm-1"}
    world.job("j", 3 * ROOM, FAR_MS)
    for _ in range(20):
        world.pump()
        world.time.advance(RETRY_DELAY_MS)
    assert len(world.sent) == 3 * ROOM
    assert world.sends <= 3 * ROOM + FAILURES_IN_A_ROW


def test_items_leave_an_ended_replica_alone_where_it_is_half_of_all() -> None:
    # Failure: of two replicas one refuses connections and cannot be ejected; items are sent there
    # again and again, and one at a time runs at the other.
    world = World("lm", replicas=2)
    world.closed = {"lm-1"}
    world.job("j", ROOM, FAR_MS)
    for _ in range(8):
        world.pump()
        world.time.advance(RETRY_DELAY_MS)
    assert len(world.sent) == ROOM
