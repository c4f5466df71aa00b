"""Test which replicas are ejected, and how they return to use."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from papayapier.policy.loads import LoadTracker
from papayapier.policy.outliers import FIRST_EJECTION_MS, GOOD_PROBES, OutlierDetector
from papayapier.policy.routing import RouteRequest, choose_replica
from papayapier.upstream.api import Replica


def replicas(count: int) -> list[Replica]:
    return [Replica(f"r{i}", "model", "127.0.0.1", 1, "dc1") for i in range(count)]


def make(count: int) -> OutlierDetector:
    outliers = OutlierDetector()
    outliers.on_listed(replicas(count))
    return outliers


def fail(outliers: OutlierDetector, replica_id: str, times: int, now: int) -> None:
    for _ in range(times):
        outliers.on_end(replica_id, False, None, now)


@settings(derandomize=True, deadline=None, database=None, max_examples=100)
@given(
    count=st.integers(1, 9),
    ends=st.lists(
        st.tuples(
            st.integers(0, 8), st.booleans(), st.sampled_from([10.0, 900.0]), st.integers(0, 400)
        ),
        max_size=200,
    ),
)
def test_never_more_than_a_minority_is_ejected(
    count: int, ends: list[tuple[int, bool, float, int]]
) -> None:
    """Guard against ejecting replicas that the rest could not replace."""
    outliers = make(count)
    now = 0
    for index, ok, first_token_ms, passed in ends:
        now += passed
        outliers.on_end(f"r{index % count}", ok, first_token_ms, now)
        out = sum(outliers.is_ejected(f"r{i}", now) for i in range(count))
        assert out == 0 or 2 * out < count


def test_failing_replica_is_ejected_longer_each_time() -> None:
    """Guard against probing a broken replica as often as at first."""
    outliers = make(5)
    now = 0
    spans = []
    for _ in range(3):
        fail(outliers, "r0", 4, now)
        assert outliers.is_ejected("r0", now)
        start = now
        while outliers.is_ejected("r0", now):
            now += 100
        spans.append(now - start)
        outliers.on_start("r0", now)
    assert spans == [FIRST_EJECTION_MS, 2 * FIRST_EJECTION_MS, 4 * FIRST_EJECTION_MS]


def test_returning_replica_gets_one_call_at_a_time() -> None:
    """Guard against losing a burst of calls each time an ejected replica is tried again.

    A replica is down; its ejection ends; many calls are routed in the same millisecond. The end of
    the ejection must not return it to full use.
    """
    outliers, load_tracker = make(5), LoadTracker()
    load_tracker.on_listed(replicas(5), ())
    fail(outliers, "r0", 4, 0)
    healthy = []
    now = FIRST_EJECTION_MS
    for _ in range(GOOD_PROBES):
        sent = 0
        for _ in range(50):
            chosen = choose_replica(
                load_tracker, outliers, RouteRequest("model", "", ""), random.Random(1), now
            )
            assert chosen is not None
            outliers.on_start(chosen, now)
            sent += chosen == "r0"
        assert sent <= 1
        outliers.on_start("r0", now)
        assert outliers.is_ejected("r0", now)
        outliers.on_end("r0", True, 10.0, now + 5)
        healthy.append(outliers.is_healthy("r0"))
        now += 10
    assert healthy == [False] * (GOOD_PROBES - 1) + [True]
    assert not outliers.is_returning("r0")


def test_lost_probe_does_not_eject_forever() -> None:
    """Guard against a replica that gets no call because a probe never ended."""
    outliers = make(5)
    fail(outliers, "r0", 4, 0)
    now = FIRST_EJECTION_MS
    assert not outliers.is_ejected("r0", now)
    outliers.on_start("r0", now)
    assert outliers.is_ejected("r0", now + 1_000)
    assert not outliers.is_ejected("r0", now + 60_000)
    outliers.on_start("r0", now + 60_000)
    outliers.on_no_result("r0")
    assert not outliers.is_ejected("r0", now + 60_000)


def test_replica_ten_times_slower_is_ejected() -> None:
    """Guard against a replica in use that is far slower than its siblings."""
    outliers = make(5)
    for step in range(20):
        for index in range(5):
            outliers.on_end(f"r{index}", True, 200.0 if index == 3 else 20.0, step)
    assert [outliers.is_ejected(f"r{index}", 20) for index in range(5)] == [
        False,
        False,
        False,
        True,
        False,
    ]


def test_general_slowness_ejects_none() -> None:
    """Guard against ejections when the whole upstream slows down."""
    outliers = make(5)
    for step in range(20):
        for index in range(5):
            outliers.on_end(f"r{index}", True, 20.0 + 100 * step, step)
    assert not any(outliers.is_ejected(f"r{index}", 20) for index in range(5))


def test_fast_failing_replica_of_two_attracts_few_calls() -> None:
    """Guard against sending nearly all calls to the one of two replicas that is down.

    It refuses connections at once, so that it never has a call open; routing goes by open calls,
    and neither replica may be ejected.
    """
    outliers, load_tracker, rand = make(2), LoadTracker(), random.Random(1)
    load_tracker.on_listed(replicas(2), ())
    sent = {"r0": 0, "r1": 0}
    ends: list[int] = []
    for now in range(0, 5_000, 10):
        for _ in [end for end in ends if end == now]:
            load_tracker.on_finished("r1", False, now)
            outliers.on_end("r1", True, 10.0, now)
        chosen = choose_replica(load_tracker, outliers, RouteRequest("model", "", ""), rand, now)
        assert chosen is not None
        sent[chosen] += 1
        if chosen == "r0":
            outliers.on_end("r0", False, None, now)
            continue
        load_tracker.on_sent("r1", False, now)
        ends.append(now + 100)
    assert sent["r0"] <= 0.05 * sent["r1"]


def test_non_idempotent_call_is_no_probe() -> None:
    """Guard against losing a call that cannot be retried to a replica that may be broken."""
    outliers, load_tracker = make(3), LoadTracker()
    load_tracker.on_listed(replicas(3), ())
    fail(outliers, "r0", 4, 0)
    req = RouteRequest("model", "", "", idempotent=False)
    now = FIRST_EJECTION_MS
    chosen = {choose_replica(load_tracker, outliers, req, random.Random(i), now) for i in range(30)}
    assert chosen == {"r1", "r2"}
