"""Test that a request with an idempotency key runs at most once despite failures."""

from collections.abc import Iterator
from typing import Any

import pytest
from result import Err, Ok

from papayapier.claims.api import Done, New, Running, Unknown
from papayapier.claims.records import SHARDS, claim_id, shard_of
from papayapier.errors import ErrorKind, Outcome
from papayapier.settings import ClaimSettings
from tests.claims_simulation import CONTENTS, Fleet, invariants_checked, make_answer
from tests.fake_store import Fault
from tests.test_store import started

CFG = ClaimSettings()


@pytest.fixture(autouse=True)
def check_invariants() -> Iterator[None]:
    with invariants_checked():
        yield


@pytest.fixture
def fleet() -> Fleet:
    return Fleet(["a", "b"], CFG, latency_ms=5)


def new_token(begun: Any) -> bytes:
    assert isinstance(begun, Ok) and isinstance(begun.ok_value, New), begun
    return begun.ok_value.token


def refusal(begun: Any) -> tuple[ErrorKind, Outcome]:
    assert isinstance(begun, Err), begun
    return begun.err_value.kind, begun.err_value.outcome


def test_answer_is_returned_again_on_any_instance(fleet: Fleet) -> None:
    token = new_token(fleet.begin("a", "k"))
    assert fleet.begin("b", "k") == Ok(Running("a"))
    fleet.instances["a"].claims.finish(token, make_answer("x"))
    assert fleet.begin("a", "k") == Ok(Done(make_answer("x")))
    fleet.advance(100)
    assert fleet.begin("b", "k") == Ok(Done(make_answer("x")))
    assert fleet.begin("a", "k") == Ok(Done(make_answer("x")))


def test_large_answer_is_not_stored_but_request_is_done(fleet: Fleet) -> None:
    token = new_token(fleet.begin("a", "k"))
    fleet.instances["a"].claims.finish(token, make_answer("x" * (CFG.answer_bytes + 1)))
    fleet.advance(100)
    assert fleet.begin("b", "k") == Ok(Done(None))


def test_other_content_is_a_conflict(fleet: Fleet) -> None:
    new_token(fleet.begin("a", "k", CONTENTS[0]))
    for name in "ab":
        end = refusal(fleet.begin(name, "k", CONTENTS[1]))
        assert end == (ErrorKind.KEY_CONFLICT, Outcome.NOT_RUN)


def test_conflict_with_an_attempt_that_has_not_claimed_yet(fleet: Fleet) -> None:
    # Guards against refusing a request as not run, for other content, although it has run. a runs
    # the request; b receives the key with other content by mistake and, while it reads the store,
    # the first request again. b must not compare it with its own attempt, which is about to lose
    # the key to a's claim.
    token = new_token(fleet.begin("a", "k", CONTENTS[0]))
    fleet.instances["a"].claims.finish(token, make_answer("x"))
    fleet.advance(100)
    mistaken = fleet.deliver("b", "k", CONTENTS[1])
    assert fleet.begin("b", "k", CONTENTS[0]) == Ok(Done(make_answer("x")))
    assert refusal(mistaken.result[0])[0] is ErrorKind.KEY_CONFLICT


def test_conflict_with_a_record_read_long_ago(fleet: Fleet) -> None:
    # Guards against the same failure with an outdated record. b has read a's claim for other
    # content; a abandons it, claims the key for the right content and runs the request; then b
    # receives the right request.
    mistaken = new_token(fleet.begin("a", "k", CONTENTS[1]))
    assert fleet.begin("b", "k", CONTENTS[1]) == Ok(Running("a"))
    fleet.instances["a"].claims.abandon(mistaken)
    fleet.instances["a"].claims.finish(
        new_token(fleet.begin("a", "k", CONTENTS[0])), make_answer("x")
    )
    fleet.advance(100)
    assert fleet.begin("b", "k", CONTENTS[0]) == Ok(Done(make_answer("x")))


def test_duplicates_on_one_instance_wait_for_the_first(fleet: Fleet) -> None:
    token = new_token(fleet.begin("a", "k"))
    patient = fleet.deliver("a", "k", due_in_ms=1_000)
    hasty = fleet.deliver("a", "k", due_in_ms=100)
    fleet.advance(500)
    assert refusal(hasty.result[0]) == (ErrorKind.STILL_RUNNING, Outcome.UNKNOWN)
    assert not patient.result
    fleet.instances["a"].claims.finish(token, make_answer("x"))
    assert patient.result == [Ok(Done(make_answer("x")))]


def test_waiting_duplicate_runs_after_an_abandon(fleet: Fleet) -> None:
    token = new_token(fleet.begin("a", "k"))
    waiting = fleet.deliver("a", "k")
    fleet.instances["a"].claims.abandon(token)
    fleet.advance(100)
    assert new_token(waiting.result[0]) != token
    assert fleet.begin("b", "k") == Ok(Running("a"))


def test_store_down_refuses_quickly_as_not_run(fleet: Fleet) -> None:
    fleet.platform.down = True
    delivery = fleet.deliver("a", "k", due_in_ms=5_000)
    fleet.advance(500)
    assert refusal(delivery.result[0]) == (ErrorKind.STORE_UNAVAILABLE, Outcome.NOT_RUN)


def test_store_down_does_not_report_not_run_for_a_known_claim(fleet: Fleet) -> None:
    # Guards against reporting "not run" for a request that an earlier delivery has run. b runs the
    # request, a has read its claim, the store becomes unavailable, and the request is resent to a.
    # The refusal must not consider only its own delivery.
    token = new_token(fleet.begin("b", "k"))
    assert fleet.begin("a", "k") == Ok(Running("b"))
    fleet.instances["b"].claims.finish(token, make_answer("x"))
    fleet.platform.down = True
    fleet.instances["b"].dead = True
    assert fleet.begin("a", "k") == Ok(Unknown("b"))


@pytest.mark.parametrize(
    ("fault", "delay_ms"),
    [
        (Fault.LOST_AFTER, 0),
        (Fault.LOST_AFTER, 400),
        (Fault.LOST_DELAYED, 400),
        (Fault.LOST_BEFORE, 0),
    ],
)
def test_claim_lost_until_its_due_time_is_abandoned_by_its_writer(
    fleet: Fleet, fault: Fault, delay_ms: int
) -> None:
    # Guards against a request that was refused as not run and can never be sent with its key again.
    # The claim's write is lost and the store does not respond until the due time; the request is
    # refused; then the write takes effect. Only the writer knows that the claim was given up, so it
    # must abandon it in the store.
    shard = shard_of(claim_id("caller", "k"))
    other = next(f"o{i}" for i in range(99) if shard_of(claim_id("caller", f"o{i}")) == shard)
    new_token(fleet.begin("a", other))
    fleet.platform.fail(fault, "update", delay_ms=delay_ms)
    fleet.platform.fail(Fault.UNAVAILABLE, "get", store="a", times=9)
    end = refusal(fleet.begin("a", "k", due_in_ms=300))
    assert end == (ErrorKind.STORE_UNAVAILABLE, Outcome.NOT_RUN)
    fleet.advance(200)
    new_token(fleet.begin("b", "k", due_in_ms=5_000))
    fleet.platform.clear_faults()
    fleet.advance(10_000)
    assert fleet.begin("a", "k") == Ok(Running("b"))


def test_second_claim_with_a_delayed_write_is_abandoned_too(fleet: Fleet) -> None:
    # Guards against a key whose outcome stays unknown although no request was sent and no instance
    # has crashed. a abandons its claim; the write of its next claim of the key is delayed and the
    # claim given up; the abandon finds the record of the first claim and seems to be complete; then
    # the delayed write takes effect. The record of another attempt does not prove that a lost write
    # at the same version has failed.
    fleet.instances["a"].claims.abandon(new_token(fleet.begin("a", "k")))
    fleet.advance(100)
    fleet.platform.fail(Fault.LOST_DELAYED, "update", delay_ms=400)
    assert refusal(fleet.begin("a", "k", due_in_ms=50))[1] is Outcome.NOT_RUN
    fleet.advance(1_000)
    new_token(fleet.begin("b", "k"))


def test_written_claim_is_not_withdrawn_while_an_archive_is_written() -> None:
    # Guards against the same failure. The response to a claim's write is lost although the write
    # took effect; the head is read again, and the claim's due time passes while an archive is
    # written before the next group. The head's version has advanced because of this claim itself,
    # so the claim must not be withdrawn as if it had not been written.
    fleet = Fleet(["a", "b"], ClaimSettings(head_bytes=100), latency_ms=5)
    new_token(fleet.begin("b", "k4"))
    fleet.begin("a", "k4")
    fleet.platform.fail(Fault.LOST_AFTER, "update")
    fleet.platform.fail(Fault.SLOW_ANSWER, "create", delay_ms=500)
    assert refusal(fleet.begin("a", "k2", due_in_ms=300))[1] is Outcome.NOT_RUN
    fleet.advance(2_000)
    new_token(fleet.begin("b", "k2"))


def test_outcome_is_unknown_if_the_writer_is_paused_or_restarted(fleet: Fleet) -> None:
    new_token(fleet.begin("a", "k"))
    fleet.instances["a"].paused = True
    assert fleet.begin("b", "k") == Ok(Unknown("a"))
    fleet.resume("a")
    assert fleet.begin("b", "k") == Ok(Running("a"))
    fleet.start("a")
    assert fleet.begin("b", "k") == Ok(Unknown("a"))
    assert fleet.begin("a", "k") == Ok(Unknown("a"))


@pytest.mark.parametrize("answers_first", [False, True])
def test_request_paused_in_begin_is_not_sent_after_its_due_time(
    fleet: Fleet, answers_first: bool
) -> None:
    # Guards against sending a request after replying to its caller that it was not sent. The
    # process is paused after the claim's write was sent and resumes after the due time, when the
    # response to the write must not be treated as if it had arrived in time.
    delivery = fleet.deliver("a", "k", due_in_ms=100)
    fleet.advance(10)
    fleet.instances["a"].paused = True
    fleet.advance(1_000)
    fleet.resume("a", answers_first)
    fleet.advance(100)
    assert refusal(delivery.result[0])[1] is Outcome.NOT_RUN
    fleet.advance(1_000)
    new_token(fleet.begin("b", "k"))


def test_claims_that_arrive_together_share_a_write(fleet: Fleet) -> None:
    deliveries = [fleet.deliver("a", f"k{i}") for i in range(400)]
    fleet.advance(500)
    assert {type(d.result[0].unwrap()) for d in deliveries} == {New}
    writes = sum(fleet.platform.writes.values())
    assert writes <= 2 * SHARDS


def test_concurrent_instances_claim_each_key_once(fleet: Fleet) -> None:
    deliveries = [fleet.deliver(name, f"k{i}") for i in range(50) for name in "ab"]
    fleet.advance(1_000)
    ends = [d.result[0].unwrap() for d in deliveries]
    assert sum(isinstance(end, New) for end in ends) == 50
    assert sum(isinstance(end, Running) for end in ends) == 50


def test_old_claims_move_to_archives_and_expire() -> None:
    cfg = ClaimSettings(head_bytes=600, retention_ms=200_000)
    fleet = Fleet(["a", "b"], cfg)
    for i in range(150):
        token = new_token(fleet.begin("ab"[i % 2], f"k{i}"))
        fleet.instances["ab"[i % 2]].claims.finish(token, make_answer(str(i)))
    fleet.advance(100)
    heads = [o for key, o in fleet.platform.objects.items() if key.endswith("head")]
    assert max(len(head.value) for head in heads) < 3 * cfg.head_bytes
    late = fleet.start("c")
    assert late.claims.state("ff") == "no_record"
    for i in range(150):
        assert fleet.begin("abc"[i % 3], f"k{i}") == Ok(Done(make_answer(str(i))))
    archived = [key for key in fleet.platform.objects if "/archive/" in key]
    assert len(archived) >= SHARDS
    for source in (fleet.fake, *(i.fake for i in fleet.instances.values())):
        source.jump(cfg.retention_ms)
    for i in range(100):
        new_token(fleet.begin("a", f"new{i}"))
    left = [key for key in archived if key in fleet.platform.objects]
    assert len(left) < len(archived) / 4


def test_two_instances_write_archives_concurrently() -> None:
    # Guards against claiming a key twice although its claim is in the store. a writes an archive
    # and is paused before the head lists it; b adds to the head, uses a's archive and writes the
    # next one; a resumes. a must not rely on its own copy of the archive or on its number instead
    # of reading the store.
    fleet = Fleet(["a", "b"], ClaimSettings(head_bytes=100), latency_ms=5)
    first, second, third, fourth = (f"k{i}" for i in (2, 4, 13, 24))
    assert len({shard_of(claim_id("caller", k)) for k in (first, second, third, fourth)}) == 1
    fleet.instances["a"].claims.abandon(new_token(fleet.begin("a", first)))
    new_token(fleet.begin("b", second))
    fleet.advance(100)
    late = fleet.deliver("a", third, due_in_ms=2_000)
    for _ in range(100):
        if not any("/archive/" in key for key in fleet.platform.objects):
            fleet.advance(5)
    fleet.instances["a"].paused = True
    # The head grows further before b uses the archive.
    fleet.platform.fail(Fault.UNAVAILABLE, "create", store="b")
    new_token(fleet.begin("b", first))
    assert refusal(fleet.begin("b", first, due_in_ms=50))[0] is ErrorKind.STILL_RUNNING
    new_token(fleet.begin("b", fourth))
    # The archive contains the abandoned attempt on the key, the head the attempt after it.
    fleet.start("c")
    assert fleet.begin("c", first) == Ok(Running("b"))
    for i in (32, 33):
        fleet.begin("b", f"k{i}")
    fleet.resume("a")
    new_token(fleet.settled(late).result[0])
    for key in (first, second, fourth):
        assert fleet.begin("a", key) == Ok(Running("b"))
        fleet.start("c")
        assert fleet.begin("c", key) == Ok(Running("b"))


def test_drain_waits_until_outcomes_are_stored(fleet: Fleet) -> None:
    token = new_token(fleet.begin("a", "k"))
    fleet.platform.down = True
    claims = fleet.instances["a"].claims
    claims.finish(token, make_answer("x"))
    failed = started(claims.drain(fleet.instances["a"].fake.clock.now() + 200))
    fleet.advance(300)
    assert failed == [False]
    fleet.platform.down = False
    stored = started(claims.drain(fleet.instances["a"].fake.clock.now() + 20_000))
    fleet.advance(10_000)
    assert stored == [True]
