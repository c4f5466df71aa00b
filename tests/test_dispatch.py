"""Test how online requests and batch items are sent, resumed, stopped and refused."""

from collections.abc import Awaitable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok, Result
from twisted.internet.defer import CancelledError, Deferred

from papayapier import codec, events, invariants
from papayapier.claims.api import BeginResult, New
from papayapier.claims.records import SavedAnswer
from papayapier.claims.service import Claims
from papayapier.config.profiles import CallerLimits
from papayapier.dispatch.api import OnlineRequest
from papayapier.dispatch.claimed import make_claimed_runner
from papayapier.dispatch.item_dispatch import AVOID_FAILED_MS
from papayapier.dispatch.online import OnlineDispatch
from papayapier.errors import ErrorKind, Outcome, Refusal, not_run_refusal
from papayapier.fleet_view import FleetView, OwnInstance, ReplicaPolicies
from papayapier.metrics import make_metrics
from papayapier.policy.batch_share import BatchShare
from papayapier.policy.loads import LoadTracker
from papayapier.policy.outliers import OutlierDetector
from papayapier.store.api import LEAVING, LIVE, REPLICA, Member
from papayapier.store.members import MembersChanged
from papayapier.upstream.api import FailureKind, Sent, Token
from tests.dispatch_world import (
    GATE,
    NOTES,
    PASSES,
    QUESTIONS,
    WORLDS,
    DispatchWorld,
    RunResult,
    outcome,
    result,
)
from tests.log_capture import LogCapture


@pytest.fixture(autouse=True)
def raise_on_broken_invariants() -> Any:
    invariants.raise_on_violation(True)
    yield
    invariants.raise_on_violation(False)
    while WORLDS:
        WORLDS.pop().close()


def disconnect(pending: Deferred[Any]) -> None:
    """Cancel a request like a caller that disconnects, and ignore its result."""
    pending.addErrback(lambda failure: failure.trap(CancelledError))
    pending.cancel()


# Outcomes over several attempts


FAILURES = st.sampled_from(
    [
        (FailureKind.CONNECT, Sent.NO),
        (FailureKind.TRUNCATED, Sent.NO),
        (FailureKind.TRUNCATED, Sent.MAYBE),
        (FailureKind.TIMED_OUT, Sent.MAYBE),
        (FailureKind.INVALID, Sent.MAYBE),
        (FailureKind.DEADLINE, Sent.NO),
        (FailureKind.DEADLINE, Sent.MAYBE),
    ]
)


@settings(derandomize=True, deadline=None, database=None, max_examples=150)
@given(
    failures=st.lists(FAILURES, min_size=3, max_size=3), online=st.booleans(), safe=st.booleans()
)
def test_refusal_outcome_covers_every_send(
    failures: list[tuple[FailureKind, Sent]], online: bool, safe: bool
) -> None:
    """Guard against a refusal as not_run although one of the sends may have run.

    An item is refused only once its job has ended, or replicas have answered that it failed.
    """
    world = DispatchWorld(lm=3, gate=3)
    allowed = [True]
    if online:
        pending = world.send_request(QUESTIONS if safe else GATE)
    else:
        pending = world.run_item(NOTES if safe else PASSES, allowed=lambda: allowed[0])
    for number, (kind, sent) in enumerate(failures):
        if len(world.sends) == number:
            break
        world.sends[number].fail(kind, sent)
        world.advance(1_500)
    used = failures[: len(world.sends)]
    if not online and not pending.called:
        assert not any(kind is FailureKind.DEADLINE for kind, _ in used)
        for send in world.sends[len(failures) :]:
            send.fail(FailureKind.CONNECT, Sent.NO)
        allowed[0] = False
        world.advance(3_000)
    maybe = [sent is Sent.MAYBE for _, sent in used]
    assert outcome(pending) is (Outcome.UNKNOWN if any(maybe) else Outcome.NOT_RUN)
    assert safe or not any(maybe[:-1])
    assert world.is_idle()


def test_rejection_after_a_lost_send_is_unknown() -> None:
    """Guard against reporting an item as not_run although the engine's counts show that it ran.

    The first send breaks off after some tokens; the second is refused with 400, because the engine
    does not support resume_text. The rejection was passed on without regard to earlier sends.
    """
    for begin in (DispatchWorld.send_request, DispatchWorld.run_item):
        world = DispatchWorld(lm=2)
        pending = begin(world)
        world.sends[0].token("we ")
        world.sends[0].fail(FailureKind.TRUNCATED)
        world.sends[1].fail(FailureKind.STATUS, status=400)
        assert outcome(pending) is Outcome.UNKNOWN


def test_preempted_item_may_have_run() -> None:
    """Guard against reporting an item as not_run although the engine's counts show that it ran.

    Its stream is preempted by an online request; before it is resumed, its job is cancelled or
    every further connection is refused. The preempted send was not counted among those that may
    have run.
    """
    world = DispatchWorld()
    allowed = [True]
    pending = world.run_item(allowed=lambda: allowed[0])
    world.send_request()
    allowed[0] = False
    world.sends[1].answer()
    world.advance(20)
    assert outcome(pending) is Outcome.UNKNOWN


def test_non_idempotent_call_is_retried_only_if_it_cannot_have_run() -> None:
    """Guard against running a call twice that may run only once."""
    world = DispatchWorld(gate=2)
    pending = world.send_request(GATE)
    world.sends[0].fail(FailureKind.CONNECT, Sent.NO)
    assert world.sends[1].replica != world.sends[0].replica
    assert all(send.call.new_connection for send in world.sends)
    world.sends[1].fail(FailureKind.TIMED_OUT)
    world.advance(2_000)
    assert len(world.sends) == 2
    refusal = result(pending).unwrap_err()
    assert (refusal.kind, refusal.outcome) == (ErrorKind.OUTCOME_UNKNOWN, Outcome.UNKNOWN)


# Streams


def test_broken_stream_resumes_on_another_replica_as_one_stream() -> None:
    """Guard against lost, repeated or mislabelled tokens when a replica breaks off a stream."""
    world = DispatchWorld(lm=2)
    seen: list[Token] = []
    pending = world.send_request(call_id="abc", on_token=seen.append)
    world.advance(30)
    world.sends[0].token("we ", "open ")
    world.sends[0].fail(FailureKind.TRUNCATED)
    second = world.sends[1]
    assert second.replica != world.sends[0].replica
    assert (second.call.call_id, second.call.request_id) == ("abc", "abc-2")
    assert (second.body()["resume_text"], second.body()["stream"]) == ("we open ", True)
    second.token("at ", "six")
    second.answer()
    reply = result(pending).unwrap()
    assert (reply.text, reply.tokens, reply.first_token_ms) == ("we open at six", 4, 30)
    assert [token.text for token in seen] == ["we ", "open ", "at ", "six"]
    assert all(b'"id": "abc",' in token.data for token in seen)
    assert world.is_idle()


def test_broken_stream_that_may_not_be_repeated_is_unknown() -> None:
    """Guard against resuming a stream of a profile that is not idempotent."""
    world = DispatchWorld(lm=2)
    pending = world.send_request(QUESTIONS._replace(idempotent=False))
    world.sends[0].token("we ")
    world.sends[0].fail(FailureKind.TRUNCATED)
    assert outcome(pending) is Outcome.UNKNOWN
    assert len(world.sends) == 1


# Callers that disconnect, and the queue


def test_disconnect_while_queued_removes_the_ticket() -> None:
    """Guard against starting a queued request whose caller has disconnected."""
    world = DispatchWorld()
    running = world.send_request(call_id="first")
    queued = world.send_request(call_id="second")
    assert world.queue.depth() == 1
    disconnect(queued)
    assert world.queue.depth() == 0
    world.sends[0].answer()
    assert result(running).is_ok()
    assert len(world.sends) == 1
    assert world.is_idle()


def test_disconnect_while_running_frees_the_replica() -> None:
    """Guard against a slot that stays taken after the caller has disconnected."""
    world = DispatchWorld()
    dropped = world.send_request(call_id="first")
    waiting = world.send_request(call_id="second")
    disconnect(dropped)
    assert world.sends[0].cancelled
    assert world.sends[1].call.call_id == "second"
    world.sends[1].answer()
    assert result(waiting).is_ok()
    assert world.is_idle()


def test_disconnect_before_a_retry_prevents_the_retry() -> None:
    """Guard against retries for a caller that has disconnected."""
    world = DispatchWorld(lm=2)
    dropped = world.send_request()
    world.sends[0].fail(FailureKind.STATUS, status=503)
    assert world.online.unfinished_count() == 1
    disconnect(dropped)
    world.advance(1_000)
    assert len(world.sends) == 1
    assert world.is_idle()


def test_refused_request_has_left_the_queue() -> None:
    """Guard against starting a request after it was refused as not_run."""
    world = DispatchWorld()
    running = world.send_request(call_id="first")
    depths: list[int] = []

    def note(finished: RunResult) -> RunResult:
        depths.append(world.queue.depth())
        return finished

    late = world.send_request(call_id="second", due_ms=100)
    late.addCallback(note)
    world.advance(300)
    assert depths == [0]
    assert outcome(late) is Outcome.NOT_RUN
    world.sends[0].answer()
    world.advance(300)
    assert result(running).is_ok()
    assert len(world.sends) == 1
    assert world.is_idle()


def test_upstreams_do_not_wait_for_each_other() -> None:
    """Guard against a busy upstream that delays requests of an idle one."""
    world = DispatchWorld(lm=1, gate=1)
    for number in range(5):
        world.send_request(call_id=f"chat-{number}")
        world.run_item(call_id=f"note-{number}")
    checked = world.send_request(GATE, call_id="gate")
    passed = world.run_item(PASSES, call_id="pass")
    assert [send.call.call_id for send in world.sends if send.replica.upstream == "gate"] == [
        "gate"
    ]
    world.sends[-1].answer()
    assert result(checked).is_ok()
    world.advance(20)
    assert world.sends[-1].call.call_id == "pass"
    world.sends[-1].answer()
    assert result(passed).is_ok()


def test_upstream_without_replicas_is_refused_at_once() -> None:
    """Guard against queueing a request until its due time although no replica is listed."""
    world = DispatchWorld(gate=0)
    refusal = result(world.send_request(GATE)).unwrap_err()
    assert (refusal.kind, refusal.outcome) == (ErrorKind.NO_UPSTREAM, Outcome.NOT_RUN)


def test_admission_learns_how_long_requests_take() -> None:
    """Guard against starting requests that cannot be answered before their due time.

    Requests of a profile take 500 ms each, and one with 300 ms left is queued. The durations were
    recorded without the profile, so the estimate ignored them.
    """
    world = DispatchWorld(slots=4)
    for turn in range(10):
        running = [world.send_request(call_id=f"slow-{turn}-{number}") for number in range(4)]
        world.advance(500)
        world.report()
        for send in world.sends[-4:]:
            send.answer(total_ms=500)
        assert all(result(pending).is_ok() for pending in running)
    for number in range(4):
        world.send_request(call_id=f"running-{number}")
    hurried = world.send_request(call_id="hurried", due_ms=300)
    world.advance(100)
    assert outcome(hurried) is Outcome.NOT_RUN


def test_open_claims_reserve_their_slots() -> None:
    """Guard against admitting several keyed requests for one free slot.

    Each was admitted while the claims of those before it were being written, because a request
    counted at its replica only when it was sent. Urgent requests then waited in the engine.
    """
    world = DispatchWorld(gate=1, lm=0)
    claims: list[Deferred[Result[None, Refusal]]] = []

    async def claim() -> Result[None, Refusal]:
        claims.append(Deferred())
        return await claims[-1]

    runs = [world.send_request(GATE, call_id=f"pass-{n}", claim=claim) for n in range(3)]
    assert len(claims) == 1
    claims[0].callback(Err(not_run_refusal(ErrorKind.STORE_UNAVAILABLE, "the store is down")))
    assert outcome(runs[0]) is Outcome.NOT_RUN
    assert len(claims) == 2
    claims[1].callback(Ok(None))
    assert (len(world.sends), len(claims)) == (1, 2)
    world.sends[0].answer()
    claims[2].callback(Ok(None))
    world.sends[1].answer()
    assert result(runs[2]).is_ok()
    assert world.is_idle()


def test_slow_claims_do_not_block_other_requests() -> None:
    """Guard against requests without keys that hang while the store is slow.

    A claim must not reserve its slot for as long as the store takes to write it.
    """
    world = DispatchWorld(gate=1, lm=0)
    never: Deferred[Result[None, Refusal]] = Deferred()

    async def claim() -> Result[None, Refusal]:
        return await never

    world.send_request(GATE, call_id="keyed", claim=claim)
    world.send_request(GATE, call_id="plain")
    assert world.sends == []
    world.advance(60)
    assert [send.call.call_id for send in world.sends] == ["plain"]


# Limits of callers


def test_caller_limits_apply_to_each_caller_and_are_released() -> None:
    """Guard against caller limits that are accepted with a profile but not enforced."""
    bound = QUESTIONS._replace(callers=CallerLimits(in_flight=3, queued=1))
    world = DispatchWorld(slots=1)
    asked = [world.send_request(bound, call_id=f"chat-{number}") for number in range(3)]
    refusal = result(asked[2]).unwrap_err()
    assert (refusal.kind, refusal.outcome) == (ErrorKind.CALLER_LIMIT, Outcome.NOT_RUN)
    assert "queued" in refusal.reason
    disconnect(asked[1])
    queued = world.send_request(bound, call_id="after")
    world.sends[0].answer()
    assert result(asked[0]).is_ok()
    world.sends[1].answer()
    assert result(queued).is_ok()
    assert world.is_idle()
    tight = QUESTIONS._replace(callers=CallerLimits(in_flight=1))
    running = world.send_request(tight, call_id="running")
    assert "under way" in result(world.send_request(tight, call_id="more")).unwrap_err().reason
    world.sends[-1].answer()
    assert result(running).is_ok()


def test_claim_of_a_crashed_run_is_finished() -> None:
    """Guard against resends and planned stops that wait for the claim of a crashed run.

    A keyed request is claimed and sent, its caller disconnects, then an exception is raised. Only a
    run that returned finished its claim, and the exception was dropped.
    """
    world = DispatchWorld(lm=0, gate=1)
    kept: list[SavedAnswer] = []

    class Scripted(Claims):
        def __init__(self) -> None:
            """Skip the base class, which needs a store."""

        async def begin(self, caller: str, key: str, content: bytes, due_ms: int) -> BeginResult:
            return Ok(New(b"t"))

        def finish(self, token: bytes, answer: SavedAnswer) -> None:
            kept.append(answer)

    logs = LogCapture()
    run = make_claimed_runner(world.online, Scripted())
    now = world.time.clock.now()
    req = OnlineRequest("abc", "a", GATE, "POST", "/x", b"", "", False, "", now + 1_000)
    with logs.applicationbound():
        disconnect(Deferred.fromCoroutine(_as_coroutine(run(req, "key", lambda _: None))))
        world.sends[0].done.errback(ZeroDivisionError())
    (answer,) = kept
    assert codec.unpack(answer.body, Refusal).unwrap().outcome is Outcome.UNKNOWN
    assert len(logs.fields_of(events.REQUEST_CRASHED)) == 1
    assert world.is_idle()


async def _as_coroutine(pending: Awaitable[RunResult]) -> RunResult:
    return await pending


# Replicas that hang


def test_hung_replica_leaves_time_for_another() -> None:
    """Guard against spending the whole due time waiting for a hung replica.

    With a first-byte timeout as long as the due time, 23 of 1,065 requests were refused as late and
    unknown although eight of nine replicas were idle.
    """
    world = DispatchWorld(lm=2, gate=1)
    asked = world.send_request(due_ms=9_000)
    assert world.sends[0].call.first_byte_ms == 3_000
    world.advance(3_000)
    world.sends[0].fail(FailureKind.TIMED_OUT)
    world.advance(50)
    assert 0 < world.sends[1].call.first_byte_ms <= 3_000
    world.sends[1].answer()
    assert result(asked).is_ok()
    passed = world.send_request(GATE, call_id="pass")
    assert world.sends[2].call.first_byte_ms == 0
    world.sends[2].answer()
    assert result(passed).is_ok()
    assert world.is_idle()


# Replicas that leave


def test_leaving_replica_gets_no_new_sends() -> None:
    """Guard against online sends, retries and items on a replica that is leaving."""
    world = DispatchWorld(lm=2, slots=2)
    online = [world.send_request(call_id=f"chat-{number}") for number in range(2)]
    item = world.run_item()
    world.list_replicas(leaving=["lm-0"])
    for send in list(world.sends):
        if not send.done.called:
            send.fail(FailureKind.TRUNCATED)
    world.advance(100)
    assert {send.replica.id for send in world.sends[3:]} == {"lm-1"}
    world.list_replicas(leaving=["lm-0", "lm-1"])
    queued = world.send_request(call_id="late", due_ms=500)
    waiting = world.run_item(call_id="waiting")
    for send in world.sends:
        if not send.done.called:
            send.answer()
    world.advance(600)
    assert all(result(one).is_ok() for one in online)
    assert outcome(queued) is Outcome.NOT_RUN
    for left in (item, waiting):
        disconnect(left)
    assert world.is_idle()


def test_send_to_a_leaving_replica_breaks_an_invariant() -> None:
    """Guard against a delay between choosing a replica and sending to it.

    If the replica is listed as leaving in between, it would continue to receive requests.
    """
    world = DispatchWorld()
    world.online = OnlineDispatch(world.deps, lambda _: world.list_replicas(["lm-0"]))
    broken: list[Any] = []
    world.send_request().addErrback(broken.append)
    assert broken[0].check(invariants.InvariantViolationError)
    assert "leaving" in broken[0].getErrorMessage()


def test_leaving_replica_is_logged_once() -> None:
    """Guard against logging the event at each change of a leaving replica's record."""
    logs = LogCapture()
    policies = ReplicaPolicies(LoadTracker(), OutlierDetector(), BatchShare("entry-1"))
    view = FleetView(OwnInstance("entry-1", "r", 32), policies, make_metrics())
    live = Member("lm-0", REPLICA, "lm", "127.0.0.1", 1, 0, "dc", "r", LIVE)
    leaving = live._replace(state=LEAVING)
    with logs.applicationbound():
        for member in (live, leaving, leaving._replace(port=2), leaving, live):
            view.on_members_changed(MembersChanged([member], []))
            usable = policies.load_tracker.usable_replicas("lm", 0)
            assert [replica.id for replica in usable] == ["lm-0"] * (member.state == LIVE)
        view.on_members_changed(MembersChanged([], ["lm-0"]))
    assert len(logs.fields_of(events.REPLICA_LEAVING)) == 1
    assert len(logs.fields_of(events.REPLICA_ADDED)) == 2
    assert view.upstream_names() == []


# Batch items


def test_online_call_preempts_the_batch_stream_with_the_fewest_tokens() -> None:
    """Guard against an online request that waits in an engine filled with batch streams.

    The number of streams to preempt was computed before the online call was counted.
    """
    world = DispatchWorld(slots=3)
    items = [world.run_item(call_id=f"note-{number}") for number in range(3)]
    for send, tokens in zip(world.sends, (2, 1, 3), strict=True):
        send.token(*["x "] * tokens)
    online = world.send_request()
    assert [send.cancelled for send in world.sends] == [False, True, False, False]
    world.sends[3].answer()
    assert result(online).is_ok()
    world.advance(20)
    resumed = world.sends[4]
    assert resumed.call.request_id == "note-1-2"
    assert resumed.body()["resume_text"] == "x "
    resumed.token("y")
    for number in (0, 2, 4):
        world.sends[number].answer()
    assert [result(item).unwrap().text for item in items] == ["x x ", "x y", "x x x "]
    assert world.is_idle()


def set_versions(world: DispatchWorld, *versions: str) -> None:
    """Give each replica a software version."""
    world.replicas = [
        replica._replace(version=version)
        for replica, version in zip(world.replicas, versions, strict=True)
    ]
    world.list_replicas()
    world.report()


def test_a_broken_stream_goes_on_at_its_own_software_version() -> None:
    """Guard against an answer that is joined from what two software versions wrote.

    The replicas of the other version are idle, so that a new request would go there.
    """
    world = DispatchWorld(lm=4, slots=4)
    set_versions(world, "v1", "v2", "v1", "v2")
    world.send_request()
    first = world.sends[0]
    first.token("we ")
    for replica in world.replicas:
        if replica.version == first.replica.version:
            world.load_tracker.on_sent(replica.id, False, world.time.clock.now())
    first.fail(FailureKind.TRUNCATED)
    world.advance(100)
    assert world.sends[1].replica.version == first.replica.version
    assert world.sends[1].replica != first.replica


def test_a_broken_stream_is_refused_if_its_software_version_is_gone() -> None:
    """Guard against a stream that goes on at another version because its own has no replica."""
    world = DispatchWorld(lm=2)
    set_versions(world, "v1", "v2")
    pending = world.send_request()
    broken = world.sends[0]
    broken.token("we ")
    world.replicas.remove(broken.replica)
    world.list_replicas()
    broken.fail(FailureKind.TRUNCATED)
    world.advance(100)
    refusal = result(pending).unwrap_err()
    assert (refusal.kind, refusal.outcome) == (ErrorKind.CANNOT_RESUME, Outcome.UNKNOWN)
    assert len(world.sends) == 1


def test_an_item_goes_on_at_its_own_software_version() -> None:
    """Guard against a batch item that is joined from what two software versions wrote."""
    world = DispatchWorld(lm=2, slots=2)
    set_versions(world, "v1", "v2")
    world.run_item()
    first = world.sends[0]
    first.token("x ")
    first.fail(FailureKind.TRUNCATED)
    world.advance(AVOID_FAILED_MS + 100)
    assert world.sends[1].replica == first.replica
    assert world.sends[1].body()["resume_text"] == "x "


def test_an_item_whose_software_version_is_gone_starts_again() -> None:
    """Guard against a batch item that waits forever, or goes on at another version."""
    world = DispatchWorld(lm=2)
    set_versions(world, "v1", "v2")
    pending = world.run_item()
    first = world.sends[0]
    first.token("x ")
    world.replicas.remove(first.replica)
    world.list_replicas()
    first.fail(FailureKind.TRUNCATED)
    world.advance(100)
    second = world.sends[1]
    assert "resume_text" not in second.body()
    second.token("y")
    second.answer()
    assert result(pending).unwrap().text == "y"


def test_items_that_may_not_be_repeated_are_not_preempted() -> None:
    """Guard against cancelling a send that cannot be resumed."""
    world = DispatchWorld(lm=1, slots=2)
    safe = world.run_item(call_id="note")
    once = world.run_item(NOTES._replace(idempotent=False), call_id="once")
    world.send_request(call_id="a")
    world.send_request(call_id="b")
    assert {send.call.call_id: send.cancelled for send in world.sends}["once"] is False
    world.sends[1].answer()
    assert result(once).is_ok()
    for send in world.sends[2:]:
        send.answer()
    world.advance(20)
    world.sends[-1].answer()
    assert result(safe).is_ok()
    assert world.is_idle()


def test_slow_cancels_are_not_counted_twice() -> None:
    """Guard against preempting several batch streams for one online request.

    A cancelled stream that has not finished by the next tick still counts as open.
    """
    world = DispatchWorld(slots=3)
    world.slow_cancels = True
    for number in range(3):
        world.run_item(call_id=f"note-{number}")
    world.send_request()
    for _ in range(3):
        for send in world.sends:
            send.token(*["x "] * send.cancelled)
        world.item_dispatch.preempt_for_online("lm-0")
    assert sum(send.cancelled for send in world.sends) == 1


def test_each_send_checks_whether_it_is_still_allowed() -> None:
    """Guard against sending an item after its job may no longer run."""
    world = DispatchWorld()
    asked: list[int] = []

    def allowed() -> bool:
        asked.append(len(world.sends))
        return len(asked) < 4

    pending = world.run_item(allowed=allowed)
    world.sends[0].fail(FailureKind.TRUNCATED)
    world.sends[1].fail(FailureKind.STATUS, status=503)
    world.advance(100)
    assert (asked, len(world.sends)) == ([0, 1, 2], 3)
    world.send_request()
    assert [send.cancelled for send in world.sends] == [False, False, True, False]
    world.sends[3].answer()
    world.advance(100)
    assert (asked, len(world.sends)) == ([0, 1, 2, 4], 4)
    assert outcome(pending) is Outcome.UNKNOWN


@pytest.mark.parametrize("slow", [False, True])
def test_cancelled_items_release_everything(slow: bool) -> None:
    """Guard against slots or queue entries that stay taken after a cancel."""
    world = DispatchWorld(lm=1, slots=1)
    world.slow_cancels = slow
    items = [world.run_item(call_id=f"note-{number}") for number in range(3)]
    disconnect(items[1])
    disconnect(items[0])
    assert world.sends[1].call.call_id == "note-2"
    disconnect(items[2])
    assert world.is_idle()
    assert world.item_dispatch.free_slots("lm") == 1


def test_cancel_of_an_item_being_preempted_is_final() -> None:
    """Guard against generating tokens for a job after its cancel.

    A job is cancelled while one of its streams is being preempted. Both raise the same
    CancelledError, and the item was resumed.
    """
    world = DispatchWorld()
    world.slow_cancels = True
    item = world.run_item()
    world.send_request()
    disconnect(item)
    world.slow_cancels = False
    world.sends[1].answer()
    world.advance(100)
    assert len(world.sends) == 2
    assert world.is_idle()


def test_failing_replica_does_not_attract_every_item() -> None:
    """Guard against failing all items of a job although one of two replicas is healthy.

    A replica that refuses every connection at once always has the most free slots, and retries did
    not avoid it.
    """
    world = DispatchWorld(lm=2, slots=2)
    pending = world.run_item()
    world.sends[0].fail(FailureKind.CONNECT, Sent.NO)
    world.advance(1_500)
    assert [send.replica.id for send in world.sends] == ["lm-0", "lm-1"]
    world.sends[1].answer()
    assert result(pending).is_ok()


def test_free_slots_exclude_ejected_replicas() -> None:
    """Guard against items that wait at one instance while others have capacity.

    The slots of ejected replicas, on which nothing is started, were counted as free.
    """
    world = DispatchWorld(lm=3, slots=4)
    assert world.item_dispatch.free_slots("lm") == 12
    for _ in range(5):
        world.outliers.on_end("lm-0", False, None, 0)
    assert world.item_dispatch.free_slots("lm") == 8


def test_many_cancelled_items_finish_without_recursion() -> None:
    """Guard against a RecursionError, and items that never finish.

    Hundreds of items wait, their job is cancelled, and one slot becomes free. Each finished item
    started the next one from within its own completion.
    """
    world = DispatchWorld()
    allowed = [True]
    items = [world.run_item(call_id=f"note-{n}", allowed=lambda: allowed[0]) for n in range(500)]
    allowed[0] = False
    world.sends[0].answer()
    assert all(outcome(item) is Outcome.NOT_RUN for item in items[1:])
    assert world.is_idle()
