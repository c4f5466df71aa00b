"""Test which replicas are taken out of use, and how they come back."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from papayapier.policy.loads import LoadBook
from papayapier.policy.outliers import FIRST_EJECTION_MS, GOOD_PROBES, Outliers
from papayapier.policy.routing import RouteRequest, choose
from papayapier.upstream.api import Replica


def replicas(count: int) -> list[Replica]:
    return [Replica(f"r{i}", "model", "127.0.0.1", 1, "dc1") for i in range(count)]


def make(count: int) -> Outliers:
    outliers = Outliers()
    outliers.on_listed(replicas(count))
    return outliers


def fail(outliers: Outliers, replica_id: str, times: int, now: int) -> None:
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
def test_never_more_than_a_minority_is_out(
    count: int, ends: list[tuple[int, bool, float, int]]
) -> None:
    outliers = make(count)
    now = 0
    for index, ok, first_token_ms, passed in ends:
        now += passed
        outliers.on_end(f"r{index % count}", ok, first_token_ms, now)
        out = sum(outliers.ejected(f"r{i}", now) for i in range(count))
        assert out == 0 or 2 * out < count


def test_a_failing_replica_is_out_longer_each_time() -> None:
    outliers = make(5)
    now = 0
    spans = []
    for _ in range(3):
        fail(outliers, "r0", 4, now)
        assert outliers.ejected("r0", now)
        begin = now
        while outliers.ejected("r0", now):
            now += 100
        spans.append(now - begin)
        outliers.on_start("r0", now)
    assert spans == [FIRST_EJECTION_MS, 2 * FIRST_EJECTION_MS, 4 * FIRST_EJECTION_MS]


def test_a_returning_replica_gets_one_call_at_a_time() -> None:
    # Symptom: each time an ejected replica is tried again, a burst of calls is lost.
    # Sequence: a replica is down; its ejection ends; many calls are routed in the same ms.
    # Cause: the end of the ejection put it back in full use.
    outliers, book = make(5), LoadBook()
    book.on_listed(replicas(5), ())
    fail(outliers, "r0", 4, 0)
    healthy = []
    now = FIRST_EJECTION_MS
    for _ in range(GOOD_PROBES):
        sent = 0
        for _ in range(50):
            chosen = choose(book, outliers, RouteRequest("model", "", ""), random.Random(1), now)
            assert chosen is not None
            outliers.on_start(chosen, now)
            sent += chosen == "r0"
        assert sent <= 1
        outliers.on_start("r0", now)
        assert outliers.ejected("r0", now)
        outliers.on_end("r0", True, 10.0, now + 5)
        healthy.append(outliers.healthy("r0"))
        now += 10
    assert healthy == [False] * (GOOD_PROBES - 1) + [True]
    assert not outliers.returning("r0")


def test_a_lost_probe_does_not_keep_a_replica_out_forever() -> None:
    outliers = make(5)
    fail(outliers, "r0", 4, 0)
    now = FIRST_EJECTION_MS
    assert not outliers.ejected("r0", now)
    outliers.on_start("r0", now)
    assert outliers.ejected("r0", now + 1_000)
    assert not outliers.ejected("r0", now + 60_000)
    outliers.on_start("r0", now + 60_000)
    outliers.on_dropped("r0")
    assert not outliers.ejected("r0", now + 60_000)


def test_a_replica_ten_times_slower_than_its_siblings_is_ejected() -> None:
    outliers = make(5)
    for step in range(20):
        for index in range(5):
            outliers.on_end(f"r{index}", True, 200.0 if index == 3 else 20.0, step)
    assert [outliers.ejected(f"r{index}", 20) for index in range(5)] == [
        False,
        False,
        False,
        True,
        False,
    ]


def test_slowness_of_all_replicas_ejects_none() -> None:
    outliers = make(5)
    for step in range(20):
        for index in range(5):
            outliers.on_end(f"r{index}", True, 20.0 + 100 * step, step)
    assert not any(outliers.ejected(f"r{index}", 20) for index in range(5))


def test_of_two_replicas_the_one_that_fails_at_once_does_not_draw_the_calls() -> None:
    # Symptom: with two replicas, one down, nearly every call goes to the one that is down.
    # Sequence: it refuses connections in no time, so it never has a call open.
    # Cause: routing goes by open calls, and neither replica may be ejected.
    outliers, book, rand = make(2), LoadBook(), random.Random(1)
    book.on_listed(replicas(2), ())
    sent = {"r0": 0, "r1": 0}
    ends: list[int] = []
    for now in range(0, 5_000, 10):
        for _ in [end for end in ends if end == now]:
            book.on_done("r1", False, now)
            outliers.on_end("r1", True, 10.0, now)
        chosen = choose(book, outliers, RouteRequest("model", "", ""), rand, now)
        assert chosen is not None
        sent[chosen] += 1
        if chosen == "r0":
            outliers.on_end("r0", False, None, now)
            continue
        book.on_sent("r1", False, now)
        ends.append(now + 100)
    assert sent["r0"] <= 0.05 * sent["r1"]


def test_a_call_that_cannot_be_repeated_is_no_probe() -> None:
    outliers, book = make(3), LoadBook()
    book.on_listed(replicas(3), ())
    fail(outliers, "r0", 4, 0)
    req = RouteRequest("model", "", "", idempotent=False)
    now = FIRST_EJECTION_MS
    chosen = {choose(book, outliers, req, random.Random(i), now) for i in range(30)}
    assert chosen == {"r1", "r2"}
