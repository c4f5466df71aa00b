"""Test the limits of batch streams on a replica."""

from hypothesis import given, settings
from hypothesis import strategies as st

from papayapier.config.profiles import BatchRule, Isolation
from papayapier.policy.batch_share import ISOLATION_SETTINGS, BatchShare
from papayapier.policy.loads import LoadTracker, ReplicaUse
from papayapier.policy.step_times import StepTimes
from papayapier.upstream.api import Load, Replica

REPLICA = Replica("r0", "model", "127.0.0.1", 1, "dc1")
SLOTS = 32


def make(
    instance: str, instances: list[str], isolation: Isolation = "tail"
) -> tuple[BatchShare, LoadTracker]:
    load_tracker, share = LoadTracker(), BatchShare(instance)
    load_tracker.on_listed([REPLICA], ())
    share.set_upstream("r0", "model")
    share.set_instances(instances)
    share.set_rule("model", BatchRule(1.0, isolation))
    return share, load_tracker


def settle(share: BatchShare, load_tracker: LoadTracker, start: int, end: int) -> int:
    """Query the limit as often as the running program does, and return the last one."""
    for now in range(start, end, 20):
        share.max_streams("r0", load_tracker, now)
    return share.max_streams("r0", load_tracker, end)


def report(share: BatchShare, load_tracker: LoadTracker, running: int, now: int) -> None:
    load = Load(running, 0, SLOTS, 5.0 + 0.06 * running, now)
    load_tracker.on_report("r0", load)
    share.on_report("r0", load)


@settings(derandomize=True, deadline=None, database=None, max_examples=60)
@given(
    count=st.integers(1, 40),
    online=st.lists(st.integers(0, 8), min_size=40, max_size=40),
    isolation=st.sampled_from(["tail", "throughput"]),
    running=st.lists(st.integers(1, 32), max_size=8),
)
def test_shares_of_all_instances_stay_within_replica_limit(
    count: int, online: list[int], isolation: Isolation, running: list[int]
) -> None:
    """Guard against batch limits that together exceed the replica's slots."""
    names = [f"i{i}" for i in range(count)]
    total = 0
    for name, calls in zip(names, online, strict=False):
        share, book = make(name, names, isolation)
        for step, number in enumerate(running):
            report(share, book, number, step * 100)
        settle(share, book, 80_000, 89_980)
        for _ in range(calls):
            book.on_sent("r0", False, 90_000)
        total += share.max_streams("r0", book, 90_000)
    assert total <= SLOTS - ISOLATION_SETTINGS[isolation].spare_slots


def test_every_instance_has_an_even_share() -> None:
    """Guard against instances without a share, and slots that nobody may use."""
    names = [f"i{i}" for i in range(6)]
    limits = []
    for name in names:
        share, load_tracker = make(name, names, "throughput")
        report(share, load_tracker, 1, 0)
        limits.append(settle(share, load_tracker, 50_000, 60_000))
    assert sum(limits) == SLOTS - ISOLATION_SETTINGS["throughput"].spare_slots
    assert max(limits) - min(limits) <= 1


def test_online_call_replaces_batch_stream_at_once() -> None:
    """Guard against an online call that waits behind batch for a slot or for the next heartbeat.

    Batch fills this instance's share, then the instance sends online calls. Batch must yield
    without waiting for a load report or a peer.
    """
    share, load_tracker = make("i0", ["i0", "i1"], "throughput")
    report(share, load_tracker, 1, 0)
    settle(share, load_tracker, 50_000, 60_000)
    for _ in range(share.free_streams("r0", load_tracker, 60_000)):
        load_tracker.on_sent("r0", True, 60_000)
    assert share.excess_streams("r0", load_tracker, 60_000) == 0
    for calls in range(1, 4):
        load_tracker.on_sent("r0", False, 60_001)
        assert share.excess_streams("r0", load_tracker, 60_001) >= calls


def test_shares_shrink_when_an_instance_exceeds_its_own() -> None:
    """Guard against online calls of one instance that wait for slots held by batch of the others.

    The balancer sends nearly all callers to one instance, which yields all its batch streams and
    continues to send. The others must consider online calls besides their own.
    """
    names = [f"i{i}" for i in range(4)]
    limits = []
    for name in names[1:]:
        share, load_tracker = make(name, names, "throughput")
        report(share, load_tracker, 1, 0)
        settle(share, load_tracker, 50_000, 60_000)
        load_tracker.on_peer_calls("i0", [ReplicaUse("r0", 26, 0)], 60_000)
        limits.append(share.max_streams("r0", load_tracker, 60_010))
    assert sum(limits) + 26 <= SLOTS


def test_job_on_one_instance_gets_unused_slots() -> None:
    """Guard against a small job that runs at a sixth of the idle capacity.

    Only one of six instances has batch work, then another one begins. The shares of the others must
    not stay unused.
    """
    names = [f"i{i}" for i in range(6)]
    share, load_tracker = make("i0", names, "throughput")
    report(share, load_tracker, 1, 0)
    alone = settle(share, load_tracker, 0, 1_000)
    assert alone <= 6
    load_tracker.on_sent("r0", True, 1_000)
    assert settle(share, load_tracker, 1_000, 2_000) == alone
    assert settle(share, load_tracker, 2_000, 10_000) >= 25
    load_tracker.on_peer_calls("i1", [ReplicaUse("r0", 0, 1)], 10_000)
    assert share.max_streams("r0", load_tracker, 10_200) <= 15


def test_simultaneous_starts_do_not_overfill() -> None:
    """Guard against overfilled replicas after a burst that took all slots.

    No instance has a batch call, then all start at the same moment. None may take the others for
    idle before they can have reported a batch call.
    """
    names = [f"i{i}" for i in range(6)]
    total = 0
    for name in names:
        share, load_tracker = make(name, names, "throughput")
        report(share, load_tracker, 1, 0)
        load_tracker.on_sent("r0", True, 5_000)
        total += settle(share, load_tracker, 5_000, 6_400)
    assert total <= SLOTS


def test_calls_waiting_for_a_slot_reduce_batch() -> None:
    """Guard against batch streams that stay while calls wait for a slot."""
    share, load_tracker = make("i0", ["i0", "i1"], "throughput")
    report(share, load_tracker, 1, 0)
    before = settle(share, load_tracker, 50_000, 60_000)
    share.on_report("r0", Load(SLOTS, 6, SLOTS, 6.9, 60_000))
    assert share.max_streams("r0", load_tracker, 60_010) == before - 3
    share.on_report("r0", Load(20, 2, SLOTS, 6.2, 60_400))
    assert settle(share, load_tracker, 60_400, 61_000) == before - 2


def test_batch_resumes_soon_after_long_overload() -> None:
    """Guard against batch at 15 % of the idle capacity in place of 77 % after an overload.

    Calls wait in the engine for 18 s, as without isolation, with one report a second; then
    isolation is turned on. If each report adds to the cut without a bound and each later one
    regains only one stream, regaining takes longer than the overload did.
    """
    share, load_tracker = make("a", ["a", "b"])
    for now in range(1_000, 19_000, 1_000):
        share.on_report("r0", Load(SLOTS, 40, SLOTS, 7.0, now))
    before = settle(share, load_tracker, 19_000, 19_500)
    for now in range(20_000, 26_000, 1_000):
        report(share, load_tracker, 4, now)
    assert before == 0
    assert settle(share, load_tracker, 26_000, 28_000) > SLOTS // 4


def test_limit_rises_gradually_after_a_burst() -> None:
    """Guard against a first-token p99 after a burst that is worse than in it.

    The burst ends, and all instances resume their batch streams in one step; the engine computes
    all their prompts before the next token of any call.
    """
    share, load_tracker = make("i0", ["i0"], "throughput")
    report(share, load_tracker, 1, 0)
    for _ in range(28):
        load_tracker.on_sent("r0", False, 1_000)
    assert settle(share, load_tracker, 1_000, 2_000) <= 2
    for _ in range(28):
        load_tracker.on_finished("r0", False, 2_000)
    assert share.max_streams("r0", load_tracker, 2_010) <= 4
    spare = ISOLATION_SETTINGS["throughput"].spare_slots
    assert settle(share, load_tracker, 2_020, 6_000) == SLOTS - spare


def test_step_bound_applies_only_with_online_calls() -> None:
    """Guard against batch that slows online calls, and against a bound without online calls."""
    share, load_tracker = make("i0", ["i0"], "tail")
    for step, running in enumerate((2, 8, 16, 24, 30)):
        report(share, load_tracker, running, step * 100)
    load_tracker.on_sent("r0", False, 1_000)
    bounded = settle(share, load_tracker, 1_000, 3_000)
    step_ms = 5.0 + 0.06 * (bounded + 1)
    assert step_ms <= ISOLATION_SETTINGS["tail"].step_factor * 5.06
    assert bounded >= 10
    load_tracker.on_finished("r0", False, 3_000)
    assert settle(share, load_tracker, 28_000, 30_000) > bounded


def test_step_times_remember_idle_replica() -> None:
    """Guard against forgetting the step time at low load while the replica is full."""
    step_times = StepTimes()
    for running in (1, 10, 20):
        step_times.observe(running, SLOTS, 5.0 + 0.06 * running)
    for _ in range(10_000):
        step_times.observe(30, SLOTS, 6.8)
    assert abs(step_times.step_ms(1) - 5.06) < 0.01
    assert abs(step_times.max_running(6.2) - 20) < 0.1


def test_step_times_are_learnt_from_online_calls() -> None:
    """Guard against unknown step times where load reports carry none."""
    share, load_tracker = make("i0", ["i0"], "tail")
    now = 0
    for running in (4, 10, 18, 26):
        load_tracker.on_report("r0", Load(running, 0, SLOTS, 0.0, now))
        for _ in range(40):
            now += 20
            share.max_streams("r0", load_tracker, now)
            share.on_online_signal("r0", 12.0, 5.0 + 0.06 * running, now)
    load_tracker.on_sent("r0", False, now)
    limit = settle(share, load_tracker, now, now + 2_000)
    assert 10 <= limit <= 24
