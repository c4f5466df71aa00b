"""Test which items run, which runs are cancelled, and how results of runs are handled."""

from papayapier.jobs.runs import RETRY_DELAY_MS
from papayapier.policy.outliers import CONSECUTIVE_FAILURES
from tests.jobs_run_world import FAR_MS, RUN_MS, SLOTS, SOON_MS, USABLE_SLOTS, World


def test_an_item_that_can_be_done_in_time_runs_first() -> None:
    world = World("lm")
    world.learn()
    world.job("hopeless", 5, SOON_MS)
    world.job("later", 5, FAR_MS)
    world.pump()
    assert sorted(world.sent) == [f"later-{n}" for n in range(USABLE_SLOTS)]


def test_late_items_run_where_nothing_else_waits() -> None:
    world = World("lm")
    world.learn()
    world.job("hopeless", 5, SOON_MS)
    world.pump()
    assert len(world.sent) == USABLE_SLOTS


def test_a_late_run_is_cancelled_for_an_item_that_can_be_done_in_time() -> None:
    # Guards against results that all arrive just after they are due, although there were enough
    # slots. Items that cannot be done in time occupy the slots when a job arrives that can be done
    # in time, so late runs must not keep their slots.
    world = World("lm")
    world.learn()
    world.job("hopeless", USABLE_SLOTS, SOON_MS)
    world.pump()
    world.job("later", 1, FAR_MS)
    world.pump()
    world.pump()
    assert "later-0" in world.sent
    assert len(world.sent) == USABLE_SLOTS


def test_a_full_upstream_does_not_block_another() -> None:
    # Guards against items of one service that wait while its replicas are idle, because the search
    # for free slots stops at the first item that finds none.
    world = World("lm", "app")
    world.job("many", 9, SOON_MS)
    world.job("other", 1, FAR_MS, "app")
    world.pump()
    assert "other-0" in world.sent


def test_the_run_with_the_most_time_left_is_cancelled_for_online_calls() -> None:
    world = World("lm")
    world.job("urgent", 1, RUN_MS)
    world.job("patient", 1, FAR_MS)
    world.pump()
    assert len(world.sent) == 2
    for _ in range(SLOTS - 1):
        world.load_tracker.on_sent("lm-1", False, world.time.clock.now())
    world.pump()
    assert sorted(world.sent) == ["urgent-0"]


def test_a_complete_item_is_finished_once() -> None:
    world = World("lm")
    job = world.job("job", 1, FAR_MS)
    world.pump()
    world.end(job.items["job-0"])
    assert world.done == ["job"]
    assert list(job.unwritten) == ["job-0"]
    assert world.runs.count() == 0


def test_items_avoid_an_ended_replica() -> None:
    # Guards against runs that nearly all fail for seconds after a replica has ended, while other
    # replicas have free slots. The replica refuses connections until it is removed from the list;
    # if that does not count against it, it appears to have the most free slots.
    world = World("lm", replicas=4)
    world.closed = {"lm-1"}
    world.job("j", 3 * USABLE_SLOTS, FAR_MS)
    for _ in range(20):
        world.pump()
        world.time.jump(RETRY_DELAY_MS)
    assert len(world.sent) == 3 * USABLE_SLOTS
    assert world.sends <= 3 * USABLE_SLOTS + CONSECUTIVE_FAILURES


def test_items_avoid_an_ended_replica_that_is_one_of_two() -> None:
    # Guards against items that are sent again and again to a replica that refuses connections, and
    # run one at a time at the other one. With two replicas, the first one cannot be ejected.
    world = World("lm", replicas=2)
    world.closed = {"lm-1"}
    world.job("j", USABLE_SLOTS, FAR_MS)
    for _ in range(8):
        world.pump()
        world.time.jump(RETRY_DELAY_MS)
    assert len(world.sent) == USABLE_SLOTS
