"""Test which replicas calls are sent to."""

import random
from collections import Counter

from papayapier.policy.loads import LoadTracker, ReplicaUse
from papayapier.policy.outliers import OutlierDetector
from papayapier.policy.routing import RouteRequest, choose_replica, free_capacity
from papayapier.policy.subsets import subset
from papayapier.upstream.api import Load, Replica

SLOTS = 32


def replicas(count: int) -> list[Replica]:
    return [Replica(f"r{i}", "model", "127.0.0.1", 1, f"dc{i % 3}") for i in range(count)]


def make(count: int) -> tuple[LoadTracker, OutlierDetector]:
    book, outliers = LoadTracker(), OutlierDetector()
    book.on_listed(replicas(count), ())
    outliers.on_listed(replicas(count))
    return book, outliers


def route_many(
    book: LoadTracker, outliers: OutlierDetector, req: RouteRequest, count: int
) -> Counter[str]:
    rand = random.Random(1)
    sent: Counter[str] = Counter()
    for _ in range(count):
        chosen = choose_replica(book, outliers, req, rand, 1_000)
        assert chosen is not None
        book.on_sent(chosen, False, 1_000)
        sent[chosen] += 1
    return sent


def test_old_report_of_idle_replica_attracts_no_herd() -> None:
    """Guard against overloading another replica after each load report.

    A report shows one replica idle, and many calls arrive before the next report. They must not all
    go to the replica with the lowest report.
    """
    book, outliers = make(5)
    for index in range(5):
        book.on_report(f"r{index}", Load(0 if index == 0 else 16, 0, SLOTS, 6.0, 1_000))
    sent = route_many(book, outliers, RouteRequest("model", "", ""), 50)
    assert sent["r0"] <= 20
    assert min(sent[f"r{index}"] for index in range(5)) >= 6


def test_replica_loaded_by_others_gets_fewer_calls() -> None:
    """Guard against ignoring the load that other instances cause."""
    book, outliers = make(5)
    for index in range(5):
        book.on_report(f"r{index}", Load(30 if index == 0 else 2, 0, SLOTS, 6.0, 1_000))
    sent = route_many(book, outliers, RouteRequest("model", "", ""), 50)
    assert sent["r0"] <= 3


def test_leaving_replica_gets_no_calls() -> None:
    """Guard against calls to a replica that is about to stop."""
    book, outliers = make(4)
    book.on_listed(replicas(4), {"r1", "r2"})
    sent = route_many(book, outliers, RouteRequest("model", "p", ""), 100)
    assert sent.keys() == {"r0", "r3"}


def test_retry_avoids_excluded_replicas() -> None:
    """Guard against a retry at a replica that failed the call, also if the rest is ejected."""
    book, outliers = make(3)
    for _ in range(4):
        outliers.on_end("r0", False, None, 1_000)
    req = RouteRequest("model", "", "", frozenset({"r1", "r2"}))
    assert choose_replica(book, outliers, req, random.Random(1), 1_000) == "r0"
    everything = req._replace(exclude=frozenset({"r0", "r1", "r2"}))
    assert choose_replica(book, outliers, everything, random.Random(1), 1_000) is None


def test_prefix_keeps_its_replica_until_that_is_loaded() -> None:
    """Guard against cache misses, and against overload by a frequent prefix."""
    book, outliers = make(6)
    req = RouteRequest("model", "you are a gate clerk", "")
    preferred = choose_replica(book, outliers, req, random.Random(1), 1_000)
    assert preferred is not None
    assert {choose_replica(book, outliers, req, random.Random(i), 1_000) for i in range(20)} == {
        preferred
    }
    sent = route_many(book, outliers, req, 120)
    assert sent[preferred] <= 60
    assert len(sent) >= 4


def test_no_capacity_once_unreported_calls_fill_the_slots() -> None:
    """Guard against growing queues in the engines, where urgent calls cannot overtake.

    Reports show 8 free slots, and four instances send 8 calls each before the next report. No
    instance may use all the free slots alone.
    """
    book, outliers = make(1)
    for peer in ("a", "b", "c"):
        book.on_peer_calls(peer, [ReplicaUse("r0", 6, 0)], 900)
    book.on_report("r0", Load(24, 0, SLOTS, 6.0, 1_000))
    sent = 0
    while free_capacity(book, outliers, "model", 1_000) > 0:
        book.on_sent("r0", False, 1_000)
        sent += 1
    assert 2 <= sent <= 5
    book.on_finished("r0", False, 1_001)
    assert free_capacity(book, outliers, "model", 1_001) > 0


def test_batch_calls_take_no_capacity_from_online_calls() -> None:
    """Guard against queueing online calls behind batch streams, which would yield."""
    book, outliers = make(1)
    for _ in range(SLOTS):
        book.on_sent("r0", True, 900)
    book.on_report("r0", Load(SLOTS, 0, SLOTS, 6.9, 1_200))
    assert free_capacity(book, outliers, "model", 1_200) >= SLOTS


def test_subsets_are_bounded_and_even() -> None:
    """Guard against too many connections, uneven load, and subsets that change with the fleet."""
    ids = [f"r{i}" for i in range(300)]
    instances = [f"i{i}" for i in range(60)]
    load = dict.fromkeys(ids, 0.0)
    before = {}
    for name in instances:
        before[name] = subset(ids, instances, name, 20)
        assert 10 <= len(before[name]) <= 40
        for replica_id in before[name]:
            load[replica_id] += 1 / len(before[name])
    mean = len(instances) / len(ids)
    assert all(0.5 * mean <= load[key] <= 1.6 * mean for key in ids)
    fewer = instances[1:]
    for name in fewer:
        assert len(set(subset(ids, fewer, name, 20)) ^ set(before[name])) <= 4


def test_small_upstream_is_used_by_all() -> None:
    """Guard against subsets of an upstream that is small enough for all."""
    ids = ["r0", "r1", "r2"]
    instances = [f"i{i}" for i in range(30)]
    assert all(set(subset(ids, instances, name, 20)) == set(ids) for name in instances)


def test_peer_change_counts_as_far_as_newer_than_report() -> None:
    """Guard against counting a peer's calls twice that the load report includes."""
    book, _ = make(1)
    book.on_peer_calls("a", [ReplicaUse("r0", 4, 0)], 500)
    book.on_report("r0", Load(4, 0, SLOTS, 6.0, 950))
    book.on_peer_calls("a", [ReplicaUse("r0", 14, 0)], 1_000)
    assert 4 < book.estimate("r0", 1_000) < 14
    book.on_report("r0", Load(14, 0, SLOTS, 6.0, 1_250))
    assert book.estimate("r0", 1_250) == 14


def test_departed_peer_leaves_no_calls() -> None:
    """Guard against calls of a departed peer that count for ever."""
    book, _ = make(1)
    book.on_peer_calls("a", [ReplicaUse("r0", 3, 2)], 500)
    assert (book.online_calls("r0"), book.batch_calls("r0")) == (3, 2)
    book.on_peer_departed("a")
    assert (book.online_calls("r0"), book.batch_calls("r0")) == (0, 0)
    assert book.batch_peers(500, 1_000) == frozenset()


def test_load_at_stream_start_does_not_replace_newer_report() -> None:
    """Guard against taking a full replica for idle whenever a long stream ends on it.

    The response headers, sent at the start of the stream, carry the load of that time; newer
    reports arrive before the response is processed at the stream's end.
    """
    book, _ = make(1)
    at_beginning = Load(1, 0, SLOTS, 0.0, 1_000, delayed=False)
    book.on_report("r0", Load(30, 0, SLOTS, 6.8, 5_000))
    book.on_report("r0", at_beginning)
    assert book.estimate("r0", 5_000) == 30


def test_changes_do_not_pile_up_while_reports_fail() -> None:
    """Guard against unbounded memory while a replica cannot be polled."""
    book, _ = make(1)
    book.on_report("r0", Load(0, 0, SLOTS, 5.0, 0))
    for now in range(0, 60_000, 10):
        book.on_sent("r0", False, now)
        book.on_finished("r0", False, now)
    assert book.change_count("r0") <= 1_000
    assert book.estimate("r0", 60_000) == 0


def test_cached_prompt_outweighs_one_call_only() -> None:
    """Guard against streams that wait 300 ms at some replicas while others run half as many.

    Calls with frequent prompts arrive, and others have filled the replicas that have them cached. A
    bound of a quarter above the mean load exceeds their slots as soon as the fleet is busy.
    """
    book = LoadTracker()
    replicas_of_lm = [Replica(f"r{n}", "lm", "h", n, "dc") for n in range(4)]
    book.on_listed(replicas_of_lm, (), {replica.id: 7 for replica in replicas_of_lm})
    uses = [ReplicaUse("r0", 8, 0), *(ReplicaUse(f"r{n}", 6, 0) for n in range(1, 4))]
    book.on_peer_calls("peer", uses, 1)
    rand = random.Random(1)
    for number in range(50):
        req = RouteRequest("lm", f"prompt-{number}", "dc", includes_peers=True)
        assert choose_replica(book, OutlierDetector(), req, rand, 2) != "r0"
