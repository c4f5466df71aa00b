"""Test how batch work is bounded on a replica."""

from hypothesis import given, settings
from hypothesis import strategies as st

from papayapier.config.profiles import BatchRule, Isolation
from papayapier.policy.batch_share import ISOLATION_SETTINGS, BatchShare
from papayapier.policy.loads import LoadBook, ReplicaUse
from papayapier.policy.step_times import StepTimes
from papayapier.upstream.api import Load, Replica

REPLICA = Replica("r0", "model", "127.0.0.1", 1, "dc1")
SLOTS = 32


def make(
    instance: str, instances: list[str], isolation: Isolation = "tail"
) -> tuple[BatchShare, LoadBook]:
    book, share = LoadBook(), BatchShare(instance)
    book.on_listed([REPLICA], ())
    share.set_upstream("r0", "model")
    share.set_instances(instances)
    share.set_rule("model", BatchRule(1.0, isolation))
    return share, book


def settle(share: BatchShare, book: LoadBook, begin: int, end: int) -> int:
    """Ask for the limit as often as the running program does, and return the last one."""
    for now in range(begin, end, 20):
        share.limit("r0", book, now)
    return share.limit("r0", book, end)


def report(share: BatchShare, book: LoadBook, running: int, now: int) -> None:
    load = Load(running, 0, SLOTS, 5.0 + 0.06 * running, now)
    book.on_report("r0", load)
    share.on_report("r0", load)


@settings(derandomize=True, deadline=None, database=None, max_examples=60)
@given(
    count=st.integers(1, 40),
    online=st.lists(st.integers(0, 8), min_size=40, max_size=40),
    isolation=st.sampled_from(["tail", "throughput"]),
    running=st.lists(st.integers(1, 32), max_size=8),
)
def test_the_shares_of_all_instances_stay_inside_the_replicas_limit(
    count: int, online: list[int], isolation: Isolation, running: list[int]
) -> None:
    names = [f"i{i}" for i in range(count)]
    total = 0
    for name, calls in zip(names, online, strict=False):
        share, book = make(name, names, isolation)
        for step, number in enumerate(running):
            report(share, book, number, step * 100)
        settle(share, book, 80_000, 89_980)
        for _ in range(calls):
            book.on_sent("r0", False, 90_000)
        total += share.limit("r0", book, 90_000)
    assert total <= SLOTS - ISOLATION_SETTINGS[isolation].spare_slots


def test_every_instance_has_a_share_and_unused_shares_go_round() -> None:
    names = [f"i{i}" for i in range(6)]
    limits = []
    for name in names:
        share, book = make(name, names, "throughput")
        report(share, book, 1, 0)
        limits.append(settle(share, book, 50_000, 60_000))
    assert sum(limits) == SLOTS - ISOLATION_SETTINGS["throughput"].spare_slots
    assert max(limits) - min(limits) <= 1


def test_an_online_call_takes_the_place_of_a_batch_stream_at_once() -> None:
    # Symptom: an online call waits behind batch for a slot, or for the next heartbeat.
    # Sequence: batch fills this instance's share; the instance sends online calls.
    # Cause: batch gave way only when a report or a peer told of the load.
    share, book = make("i0", ["i0", "i1"], "throughput")
    report(share, book, 1, 0)
    settle(share, book, 50_000, 60_000)
    for _ in range(share.room("r0", book, 60_000)):
        book.on_sent("r0", True, 60_000)
    assert share.to_yield("r0", book, 60_000) == 0
    for calls in range(1, 4):
        book.on_sent("r0", False, 60_001)
        assert share.to_yield("r0", book, 60_001) >= calls


def test_shares_shrink_when_another_instance_outgrows_its_own() -> None:
    # Symptom: online calls of one instance wait for slots that batch of the others holds.
    # Sequence: the balancer sends nearly all callers to one instance, which yields all its
    # batch streams and goes on sending; the others keep theirs.
    # Cause: each instance looked only at its own online calls.
    names = [f"i{i}" for i in range(4)]
    limits = []
    for name in names[1:]:
        share, book = make(name, names, "throughput")
        report(share, book, 1, 0)
        settle(share, book, 50_000, 60_000)
        book.on_peer_uses("i0", [ReplicaUse("r0", 26, 0)], 60_000)
        limits.append(share.limit("r0", book, 60_010))
    assert sum(limits) + 26 <= SLOTS


def test_a_job_on_one_instance_gets_the_slots_that_the_others_leave() -> None:
    # Symptom: a small job runs at a sixth of the idle capacity.
    # Sequence: only one of six instances has batch work; then another one begins.
    # Cause: the others' shares stayed empty.
    names = [f"i{i}" for i in range(6)]
    share, book = make("i0", names, "throughput")
    report(share, book, 1, 0)
    alone = settle(share, book, 0, 1_000)
    assert alone <= 6
    book.on_sent("r0", True, 1_000)
    assert settle(share, book, 1_000, 2_000) == alone
    assert settle(share, book, 2_000, 10_000) >= 25
    book.on_peer_uses("i1", [ReplicaUse("r0", 0, 1)], 10_000)
    assert share.limit("r0", book, 10_200) <= 15


def test_instances_that_begin_at_once_do_not_take_each_others_slots() -> None:
    # Symptom: after a burst that took all slots, replicas are overfilled with batch streams.
    # Sequence: no instance has a batch call; all start in the same moment.
    # Cause: each took the others for idle, because none had told of a batch call yet.
    names = [f"i{i}" for i in range(6)]
    total = 0
    for name in names:
        share, book = make(name, names, "throughput")
        report(share, book, 1, 0)
        book.on_sent("r0", True, 5_000)
        total += settle(share, book, 5_000, 6_400)
    assert total <= SLOTS


def test_calls_that_wait_for_a_slot_take_batch_streams_away() -> None:
    share, book = make("i0", ["i0", "i1"], "throughput")
    report(share, book, 1, 0)
    before = settle(share, book, 50_000, 60_000)
    share.on_report("r0", Load(SLOTS, 6, SLOTS, 6.9, 60_000))
    assert share.limit("r0", book, 60_010) == before - 3
    share.on_report("r0", Load(20, 2, SLOTS, 6.2, 60_400))
    assert settle(share, book, 60_400, 61_000) == before - 2


def test_a_long_flood_does_not_bar_batch_for_long_afterwards() -> None:
    # Symptom: with isolation, batch gets 15 % of the idle capacity instead of 77 %.
    # Sequence: calls wait in the engine for 18 s, as without isolation; one report a second
    # sees them; then isolation is turned on.
    # Cause: each report added to the cut without a bound, and each later one took back only
    # one stream, so that with rare reports the way back took longer than the flood.
    share, book = make("a", ["a", "b"])
    for now in range(1_000, 19_000, 1_000):
        share.on_report("r0", Load(SLOTS, 40, SLOTS, 7.0, now))
    before = settle(share, book, 19_000, 19_500)
    for now in range(20_000, 26_000, 1_000):
        report(share, book, 4, now)
    assert before == 0
    assert settle(share, book, 26_000, 28_000) > SLOTS // 4


def test_room_returns_gradually_after_a_burst() -> None:
    # Symptom: the first-token p99 after a burst is worse than in it.
    # Sequence: the burst ends; all instances resume their batch streams in one step.
    # Cause: the engine computes all their prompts before the next token of anyone.
    share, book = make("i0", ["i0"], "throughput")
    report(share, book, 1, 0)
    for _ in range(28):
        book.on_sent("r0", False, 1_000)
    assert settle(share, book, 1_000, 2_000) <= 2
    for _ in range(28):
        book.on_done("r0", False, 2_000)
    assert share.limit("r0", book, 2_010) <= 4
    spare = ISOLATION_SETTINGS["throughput"].spare_slots
    assert settle(share, book, 2_020, 6_000) == SLOTS - spare


def test_step_bound_protects_online_calls_and_goes_when_there_are_none() -> None:
    share, book = make("i0", ["i0"], "tail")
    for step, running in enumerate((2, 8, 16, 24, 30)):
        report(share, book, running, step * 100)
    book.on_sent("r0", False, 1_000)
    bounded = settle(share, book, 1_000, 3_000)
    step_ms = 5.0 + 0.06 * (bounded + 1)
    assert step_ms <= ISOLATION_SETTINGS["tail"].step_factor * 5.06
    assert bounded >= 10
    book.on_done("r0", False, 3_000)
    assert settle(share, book, 28_000, 30_000) > bounded


def test_pace_keeps_what_it_learnt_of_an_idle_replica() -> None:
    pace = StepTimes()
    for running in (1, 10, 20):
        pace.observe(running, SLOTS, 5.0 + 0.06 * running)
    for _ in range(10_000):
        pace.observe(30, SLOTS, 6.8)
    assert abs(pace.step_ms(1) - 5.06) < 0.01
    assert abs(pace.max_running(6.2) - 20) < 0.1


def test_pace_is_learnt_from_online_calls_when_reports_have_no_step_time() -> None:
    share, book = make("i0", ["i0"], "tail")
    now = 0
    for running in (4, 10, 18, 26):
        book.on_report("r0", Load(running, 0, SLOTS, 0.0, now))
        for _ in range(40):
            now += 20
            share.limit("r0", book, now)
            share.on_online_signal("r0", 12.0, 5.0 + 0.06 * running, now)
    book.on_sent("r0", False, now)
    limit = settle(share, book, now, now + 2_000)
    assert 10 <= limit <= 24
