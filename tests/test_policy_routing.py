"""Test where calls are sent."""

import random
from collections import Counter

from papayapier.policy.loads import LoadBook, ReplicaUse
from papayapier.policy.outliers import Outliers
from papayapier.policy.routing import RouteRequest, choose, free_calls
from papayapier.policy.subsets import subset
from papayapier.upstream.api import Load, Replica

SLOTS = 32


def replicas(count: int) -> list[Replica]:
    return [Replica(f"r{i}", "model", "127.0.0.1", 1, f"dc{i % 3}") for i in range(count)]


def make(count: int) -> tuple[LoadBook, Outliers]:
    book, outliers = LoadBook(), Outliers()
    book.on_listed(replicas(count), ())
    outliers.on_listed(replicas(count))
    return book, outliers


def spread(book: LoadBook, outliers: Outliers, req: RouteRequest, count: int) -> Counter[str]:
    rand = random.Random(1)
    sent: Counter[str] = Counter()
    for _ in range(count):
        chosen = choose(book, outliers, req, rand, 1_000)
        assert chosen is not None
        book.on_sent(chosen, False, 1_000)
        sent[chosen] += 1
    return sent


def test_an_old_report_of_an_idle_replica_draws_no_herd() -> None:
    # Symptom: every 100 ms another replica is flooded.
    # Sequence: a report shows one replica idle; calls come before the next report.
    # Cause: all of them went to the replica with the lowest report.
    book, outliers = make(5)
    for index in range(5):
        book.on_report(f"r{index}", Load(0 if index == 0 else 16, 0, SLOTS, 6.0, 1_000))
    sent = spread(book, outliers, RouteRequest("model", "", ""), 50)
    assert sent["r0"] <= 20
    assert min(sent[f"r{index}"] for index in range(5)) >= 6


def test_a_replica_that_others_load_gets_less() -> None:
    book, outliers = make(5)
    for index in range(5):
        book.on_report(f"r{index}", Load(30 if index == 0 else 2, 0, SLOTS, 6.0, 1_000))
    sent = spread(book, outliers, RouteRequest("model", "", ""), 50)
    assert sent["r0"] <= 3


def test_a_leaving_replica_gets_nothing() -> None:
    book, outliers = make(4)
    book.on_listed(replicas(4), {"r1", "r2"})
    sent = spread(book, outliers, RouteRequest("model", "p", ""), 100)
    assert sent.keys() == {"r0", "r3"}


def test_a_retry_avoids_the_excluded_even_if_the_rest_is_ejected() -> None:
    book, outliers = make(3)
    for _ in range(4):
        outliers.on_end("r0", False, None, 1_000)
    req = RouteRequest("model", "", "", frozenset({"r1", "r2"}))
    assert choose(book, outliers, req, random.Random(1), 1_000) == "r0"
    everything = req._replace(exclude=frozenset({"r0", "r1", "r2"}))
    assert choose(book, outliers, everything, random.Random(1), 1_000) is None


def test_a_prefix_keeps_its_replica_until_that_is_loaded() -> None:
    book, outliers = make(6)
    req = RouteRequest("model", "you are a gate clerk", "")
    home = choose(book, outliers, req, random.Random(1), 1_000)
    assert home is not None
    assert {choose(book, outliers, req, random.Random(i), 1_000) for i in range(20)} == {home}
    sent = spread(book, outliers, req, 120)
    assert sent[home] <= 60
    assert len(sent) >= 4


def test_no_room_once_the_unseen_sends_of_all_instances_fill_the_slots() -> None:
    # Symptom: at overload the engines' own queues grow, and urgent calls wait in them.
    # Sequence: reports show 8 free slots; four instances send 8 calls each before the next.
    # Cause: each instance took all the free slots for itself.
    book, outliers = make(1)
    for peer in ("a", "b", "c"):
        book.on_peer_uses(peer, [ReplicaUse("r0", 6, 0)], 900)
    book.on_report("r0", Load(24, 0, SLOTS, 6.0, 1_000))
    sent = 0
    while free_calls(book, outliers, "model", 1_000) > 0:
        book.on_sent("r0", False, 1_000)
        sent += 1
    assert 2 <= sent <= 5
    book.on_done("r0", False, 1_001)
    assert free_calls(book, outliers, "model", 1_001) > 0


def test_batch_calls_take_no_room_from_online_calls() -> None:
    book, outliers = make(1)
    for _ in range(SLOTS):
        book.on_sent("r0", True, 900)
    book.on_report("r0", Load(SLOTS, 0, SLOTS, 6.9, 1_200))
    assert free_calls(book, outliers, "model", 1_200) >= SLOTS


def test_subsets_are_bounded_and_load_all_replicas_alike() -> None:
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


def test_a_small_upstream_is_seen_whole_by_everyone() -> None:
    ids = ["r0", "r1", "r2"]
    instances = [f"i{i}" for i in range(30)]
    assert all(set(subset(ids, instances, name, 20)) == set(ids) for name in instances)


def test_a_peers_change_counts_only_as_far_as_it_is_newer_than_the_report() -> None:
    book, _ = make(1)
    book.on_peer_uses("a", [ReplicaUse("r0", 4, 0)], 500)
    book.on_report("r0", Load(4, 0, SLOTS, 6.0, 950))
    book.on_peer_uses("a", [ReplicaUse("r0", 14, 0)], 1_000)
    assert 4 < book.estimate("r0", 1_000) < 14
    book.on_report("r0", Load(14, 0, SLOTS, 6.0, 1_250))
    assert book.estimate("r0", 1_250) == 14


def test_a_gone_peer_leaves_no_calls_behind() -> None:
    book, _ = make(1)
    book.on_peer_uses("a", [ReplicaUse("r0", 3, 2)], 500)
    assert (book.online_at("r0"), book.batch_at("r0")) == (3, 2)
    book.on_peer_gone("a")
    assert (book.online_at("r0"), book.batch_at("r0")) == (0, 0)
    assert book.batch_peers(500, 1_000) == frozenset()


def test_the_load_of_a_streams_beginning_does_not_replace_a_newer_report() -> None:
    # Symptom: a full replica is taken for idle whenever a long stream ends on it.
    # Sequence: the answer's headers, sent at its beginning, carry the load of then; reports
    # come meanwhile; the answer is handed over at its end.
    # Cause: the load was taken as new at the end of the answer.
    book, _ = make(1)
    at_beginning = Load(1, 0, SLOTS, 0.0, 1_000, lagging=False)
    book.on_report("r0", Load(30, 0, SLOTS, 6.8, 5_000))
    book.on_report("r0", at_beginning)
    assert book.estimate("r0", 5_000) == 30


def test_steps_do_not_pile_up_while_reports_fail() -> None:
    book, _ = make(1)
    book.on_report("r0", Load(0, 0, SLOTS, 5.0, 0))
    for now in range(0, 60_000, 10):
        book.on_sent("r0", False, now)
        book.on_done("r0", False, now)
    assert book.change_count("r0") <= 1_000
    assert book.estimate("r0", 60_000) == 0


def test_a_cached_prompt_is_worth_one_call_and_not_a_queue() -> None:
    # Symptom: streams wait 300 ms and more at some replicas while others run half as many.
    # Events: calls with frequent prompts come; others have filled the replicas preferred for them.
    # Cause: the replica that has a prompt cached was taken up to a quarter above the mean load,
    # which is above its slots as soon as the fleet is busy.
    book = LoadBook()
    four = [Replica(f"r{n}", "lm", "h", n, "dc") for n in range(4)]
    book.on_listed(four, (), {one.id: 7 for one in four})
    uses = [ReplicaUse("r0", 8, 0), *(ReplicaUse(f"r{n}", 6, 0) for n in range(1, 4))]
    book.on_peer_uses("peer", uses, 1)
    rand = random.Random(1)
    for number in range(50):
        req = RouteRequest("lm", f"prompt-{number}", "dc", told=True)
        assert choose(book, Outliers(), req, rand, 2) != "r0"
