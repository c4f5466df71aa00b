"""Test that requests are retried only where allowed, and refused with the right outcome."""

import pytest
from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers

from papayapier import events
from papayapier.dispatch.lost_sends import request_fingerprint
from papayapier.errors import ErrorKind, Outcome
from papayapier.policy.crash_quarantine import MAX_LOSSES, ReplicaLoss
from papayapier.policy.loads import ReplicaUse
from papayapier.policy.placers import Placement, PlacementNeeds
from papayapier.policy.routing import RouteRequest
from papayapier.upstream.api import FailureKind, Sent
from papayapier.upstream.forward_call import ForwardAnswer
from tests.forward_world import Caller, ForwardResult, ForwardWorld
from tests.log_capture import LogCapture

LOST = [
    (FailureKind.TRUNCATED, Sent.MAYBE),
    (FailureKind.TIMED_OUT, Sent.MAYBE),
    (FailureKind.INVALID, Sent.MAYBE),
    (FailureKind.WRONG_ID, Sent.MAYBE),
]


@pytest.mark.parametrize("replica", ["r0", "r1", "r2"])
def test_a_request_is_sent_to_the_placed_replica(replica: str) -> None:
    """Guard against ignoring the decision of the placer."""
    world = ForwardWorld()
    world.placed = Placement(replica)
    world.start_request(idempotent=True)
    assert world.sends[0].replica.id == replica


def test_a_placed_replica_that_is_not_listed_here_is_not_used() -> None:
    """Guard against a send to a removed replica; the placer's list may be older."""
    world = ForwardWorld()
    world.placed = Placement("gone")
    world.start_request(idempotent=True)
    assert world.sends[0].replica in world.replicas


def test_a_request_quarantined_while_it_waits_for_placement_is_not_sent() -> None:
    """Guard against queued copies of a quarantined request that each crash one more replica."""
    world = ForwardWorld()
    waiting: Deferred[Placement] = Deferred()

    async def place(_req: RouteRequest, _needs: PlacementNeeds) -> Placement:
        return await waiting

    world.deps = world.deps._replace(place=place)
    results = world.start_request(idempotent=True, body=b"crash")
    fingerprint = request_fingerprint("POST", "", "/a", b"crash")
    world.crashes.on_reported(
        [ReplicaLoss(fingerprint, f"gone{n}", 0) for n in range(MAX_LOSSES)], ()
    )
    waiting.callback(Placement("r0"))
    assert not world.sends
    result = results[0]
    assert isinstance(result, Err)
    assert (result.err_value.kind, result.err_value.outcome) == (
        ErrorKind.ENDS_REPLICAS,
        Outcome.NOT_RUN,
    )


@pytest.mark.parametrize(("kind", "sent"), LOST)
def test_a_request_that_may_run_once_is_sent_once(kind: FailureKind, sent: Sent) -> None:
    """Guard against retrying a send that may have run, where the route is not idempotent."""
    world = ForwardWorld()
    results = world.start_request(idempotent=False)
    world.sends[0].fail(kind, sent)
    assert len(world.sends) == 1
    result = results[0]
    assert isinstance(result, Err)
    assert result.err_value.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_rejection_does_not_count_as_an_attempt(idempotent: bool) -> None:
    """Guard against refusing a request although other replicas are free.

    A full replica answers that it did not run the request, and the route allows one attempt. The
    answer was counted as a run.
    """
    world = ForwardWorld()
    results = world.start_request(idempotent, attempts=1)
    world.sends[0].fail(FailureKind.STATUS, Sent.NO, 503)
    world.time.jump(100)
    assert len(world.sends) == 2
    assert world.sends[1].replica != world.sends[0].replica
    world.sends[1].answer()
    assert isinstance(results[0], Ok)


def test_when_all_replicas_reject_the_refusal_is_not_run() -> None:
    """Guard against an unknown outcome, or endless sends, where no replica ran the request."""
    world = ForwardWorld()
    results = world.start_request(idempotent=False)
    while not results:
        world.sends[-1].fail(FailureKind.STATUS, Sent.NO, 503)
        world.time.jump(1_000)
    result = results[0]
    assert isinstance(result, Err)
    assert result.err_value.outcome is Outcome.NOT_RUN
    assert len(world.sends) <= 5


def test_one_send_with_unknown_outcome_makes_the_request_unknown() -> None:
    """Guard against a refusal as not_run although an earlier send may have run."""
    world = ForwardWorld()
    results = world.start_request(idempotent=True, attempts=2)
    world.sends[0].fail(FailureKind.TRUNCATED, Sent.MAYBE)
    world.time.jump(1_000)
    for _ in range(6):
        if results:
            break
        world.sends[-1].fail(FailureKind.CONNECT, Sent.NO)
        world.time.jump(1_000)
    result = results[0]
    assert isinstance(result, Err)
    assert result.err_value.outcome is Outcome.UNKNOWN


def test_an_error_answer_is_passed_on_when_no_other_replica_succeeds() -> None:
    """Guard against replacing a replica's own answer by a refusal."""
    world = ForwardWorld()
    results = world.start_request(idempotent=True, attempts=2)
    world.sends[0].answer(500, b"first")
    world.time.jump(1_000)
    world.sends[1].fail(FailureKind.TRUNCATED, Sent.MAYBE)
    world.time.jump(1_000)
    assert results[0].unwrap().status == 500


def test_the_log_of_a_request_says_whose_answer_it_got() -> None:
    """Guard against a missing log line where the answer is that of an earlier replica."""
    world = ForwardWorld()
    with LogCapture().applicationbound() as logs:
        world.start_request(idempotent=True, attempts=2)
        world.sends[0].answer(500)
        world.time.jump(1_000)
        world.sends[1].fail(FailureKind.TRUNCATED, Sent.MAYBE)
    (result,) = logs.fields_of(events.REQUEST_ENDED)
    assert (result["status"], result["kept"]) == (500, True)


def test_the_log_of_a_resumed_stream_says_why_and_from_where() -> None:
    """Guard against logs that do not show how far a stream got before its replica broke off."""
    world = ForwardWorld()
    with LogCapture().applicationbound() as logs:
        world.start_request(idempotent=True, caller=Caller())
        world.sends[0].events(1, 2)
        world.sends[0].fail(FailureKind.TRUNCATED, Sent.MAYBE)
        world.time.jump(100)
    (retried,) = logs.fields_of(events.REQUEST_RETRIED)
    assert (retried["kind"], retried["last_event"]) == ("cut", 2)


def test_the_log_of_a_stream_names_the_software_version() -> None:
    """Guard against logs that cannot tell at which software version a stream began and ended."""
    world = ForwardWorld()
    world.replicas = [replica._replace(version="v1") for replica in world.replicas]
    world.list_replicas()
    with LogCapture().applicationbound() as logs:
        world.start_request(idempotent=True, caller=Caller())
        world.sends[0].events(1, 2)
        world.sends[0].fail(FailureKind.TRUNCATED, Sent.MAYBE)
        world.time.jump(100)
        world.sends[1].events(3)
        world.sends[1].answer()
    assert [line["version"] for line in logs.fields_of(events.REQUEST_RETRIED)] == ["v1"]
    assert [line["version"] for line in logs.fields_of(events.REQUEST_ENDED)] == ["v1"]


def test_the_log_names_the_attempt_whose_stream_a_caller_resumes() -> None:
    """Guard against attempts that resume a stream without a line that says so."""
    world = ForwardWorld()
    with LogCapture().applicationbound() as logs:
        world.start_request(True, Caller(), last_event=4, resumed_attempt="id-0")
    (line,) = logs.fields_of(events.STREAM_TAKEN_UP)
    assert (line["request"], line["resumed"], line["last_event"]) == ("id-1", "id-0", 4)


def test_an_error_answer_to_a_request_that_may_run_once_is_final() -> None:
    """Guard against retrying a request that ran and failed, where it may run only once."""
    world = ForwardWorld()
    results = world.start_request(idempotent=False)
    world.sends[0].answer(500, b"failed")
    assert results[0] == Ok(ForwardAnswer(500, Headers(), b"failed"))
    assert len(world.sends) == 1


def test_a_broken_stream_resumes_after_the_last_complete_event() -> None:
    """Guard against missing, repeated or joined events of a stream.

    The replica breaks off within event 3; another one resumes after event 2.
    """
    world = ForwardWorld()
    caller = Caller()
    results = world.start_request(idempotent=True, caller=caller)
    world.sends[0].events(1, 2)
    world.sends[0].data(b"id: 3\nda")
    world.sends[0].fail(FailureKind.TRUNCATED, Sent.MAYBE)
    world.time.jump(100)
    assert world.sends[1].replica != world.sends[0].replica
    world.sends[1].events(3, 4)
    world.sends[1].answer()
    assert isinstance(results[0], Ok)
    assert caller.heads == 1
    assert caller.body == b"".join(f"id: {n}\ndata: {n}\n\n".encode() for n in (1, 2, 3, 4))


@pytest.mark.parametrize("given_up_for", ["attempts", "replicas", "time"])
def test_a_begun_stream_does_not_end_with_an_earlier_answer(given_up_for: str) -> None:
    """Guard against a broken stream that looks complete because an earlier error ended it."""
    world = ForwardWorld()
    results = world.start_request(idempotent=True, caller=Caller(), attempts=3)
    world.sends[0].answer(500, b"failed")
    world.time.jump(1_000)
    world.sends[1].events(1, 2)
    if given_up_for == "replicas":
        world.replicas.clear()
        world.list_replicas()
    if given_up_for == "time":
        world.time.jump(5_000)
    world.sends[1].fail(FailureKind.TRUNCATED, Sent.MAYBE)
    world.time.jump(1_000)
    if given_up_for == "attempts":
        world.sends[2].fail(FailureKind.TRUNCATED, Sent.MAYBE)
    assert isinstance(results[0], Err), results


@pytest.mark.parametrize("status", [400, 404, 422, 500])
def test_a_begun_stream_does_not_end_with_the_error_of_the_resuming_replica(status: int) -> None:
    """Guard against a broken stream that looks complete because resuming it failed."""
    world = ForwardWorld()
    results = world.start_request(idempotent=True, caller=Caller(), attempts=2)
    world.sends[0].events(1, 2)
    world.sends[0].fail(FailureKind.TRUNCATED, Sent.MAYBE)
    world.time.jump(1_000)
    world.sends[1].answer(status, b"failed")
    world.time.jump(1_000)
    assert isinstance(results[0], Err), results


def test_a_stream_is_resumed_after_an_error_of_the_resuming_replica() -> None:
    """Guard against giving up a stream while a third replica could resume it."""
    world = ForwardWorld()
    caller = Caller()
    results = world.start_request(idempotent=True, caller=caller)
    world.sends[0].events(1)
    world.sends[0].fail(FailureKind.TRUNCATED, Sent.MAYBE)
    world.time.jump(1_000)
    world.sends[1].answer(404, b"failed")
    world.time.jump(1_000)
    world.sends[2].events(2)
    world.sends[2].answer()
    assert isinstance(results[0], Ok), results
    assert caller.body == b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"


@pytest.mark.parametrize("first", [1, 2, 4])
def test_a_resumed_stream_continues_with_the_next_event_or_not_at_all(first: int) -> None:
    """Guard against repeated or missing events when a replica resumes at another event."""
    world = ForwardWorld()
    caller = Caller()
    world.start_request(idempotent=True, caller=caller)
    world.sends[0].events(1, 2)
    world.sends[0].fail(FailureKind.TRUNCATED, Sent.MAYBE)
    world.time.jump(1_000)
    taker = world.sends[1].taker
    assert taker is not None
    event = f"id: {first}\ndata: {first}\n\n".encode()
    fault = taker.on_data(event[:5], 1) or taker.on_data(event[5:], 1)
    assert fault is not None
    world.sends[1].fail(fault.kind, Sent.MAYBE)
    world.time.jump(1_000)
    world.sends[2].events(3)
    assert caller.body == b"".join(f"id: {n}\ndata: {n}\n\n".encode() for n in (1, 2, 3))


@pytest.mark.parametrize("resumable", [True, False])
def test_only_a_resumable_stream_must_start_after_the_callers_last_event(
    resumable: bool,
) -> None:
    """Guard against refusing an answer on a route that ignores the caller's last event."""
    world = ForwardWorld()
    world.start_request(idempotent=resumable, caller=Caller(), last_event=4)
    taker = world.sends[0].taker
    assert taker is not None
    assert (taker.on_data(b"id: 1\ndata: 1\n\n", 1) is None) is not resumable
    assert taker.on_data(b"id: 5\ndata: 5\n\n", 1) is None


CRASH_MS = 30
SOUND_MS = 130
SOUND_GAP_MS = 60
STEP_MS = 10


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("crashing_ms", [0, 20, 40])
def test_a_frequent_request_is_not_quarantined_for_a_crashing_one(
    crashing_ms: int, seed: int
) -> None:
    """Guard against quarantining a frequent, harmless request for minutes.

    Its retries and those of a crashing request go to the same three of few replicas at once.
    """
    world = ForwardWorld(replicas=2, seed=seed)
    began: dict[int, int] = {}
    sound: list[list[ForwardResult]] = []
    for now in range(0, 2_000, STEP_MS):
        if now % SOUND_GAP_MS == 0:
            sound.append(world.start_request(idempotent=True, body=b"sound"))
        if now == crashing_ms:
            world.start_request(idempotent=True, body=b"crash")
        world.time.jump(STEP_MS)
        for number, send in enumerate(list(world.sends)):
            open_ms = now - began.setdefault(number, now)
            if send.done.called:
                continue
            if send.call.body == b"crash" and open_ms >= CRASH_MS:
                world.end_replica(send)
            elif open_ms >= SOUND_MS:
                send.answer()
    kinds = {
        results[0].unwrap_err().kind for results in sound if results and isinstance(results[0], Err)
    }
    assert ErrorKind.ENDS_REPLICAS not in kinds


def test_a_recently_answered_request_is_not_quarantined_when_three_replicas_end() -> None:
    """Guard against quarantining a request that was open beside a crashing one."""
    world = ForwardWorld(replicas=3)
    world.start_request(idempotent=True, body=b"sound")
    world.sends[0].answer()
    for replica in list(world.replicas):
        world.placed = Placement(replica.id)
        world.start_request(idempotent=False, body=b"sound")
        world.start_request(idempotent=False, body=b"crash")
    for send in world.sends[1::2]:
        world.end_replica(send)
    world.placed = Placement("")
    held = [
        isinstance(result, Err) and result.err_value.kind is ErrorKind.ENDS_REPLICAS
        for body in (b"sound", b"crash")
        for result in world.start_request(idempotent=False, body=body)
    ]
    assert held == [True], held


def test_some_time_is_left_for_a_send_after_the_pause() -> None:
    """Guard against spending all of the remaining time on the pause before a retry."""
    world = ForwardWorld()
    results = world.start_request(idempotent=True, due_ms=600)
    for _ in range(MAX_LOSSES - 1):
        world.end_replica(world.sends[-1])
        world.time.jump(100)
    world.time.jump(250)
    world.sends[MAX_LOSSES - 1].answer()
    assert isinstance(results[0], Ok)


def test_a_broken_stream_that_may_not_be_resumed_ends() -> None:
    """Guard against resuming a stream whose route is not idempotent."""
    world = ForwardWorld()
    caller = Caller()
    results = world.start_request(idempotent=False, caller=caller)
    world.sends[0].events(1)
    world.sends[0].fail(FailureKind.TRUNCATED, Sent.MAYBE)
    assert isinstance(results[0], Err)
    assert len(world.sends) == 1


def test_calls_are_counted_as_long_as_they_are_open() -> None:
    """Guard against a wrong count of open calls, on which placement depends."""
    world = ForwardWorld()
    world.start_request(idempotent=True)
    assert world.open_calls() == 1
    world.sends[0].answer()
    assert world.open_calls() == 0


def test_calls_go_to_replicas_that_peers_use_less() -> None:
    """Guard against an entry that counts its own calls only and chooses full replicas."""
    world = ForwardWorld()
    uses = [ReplicaUse("r0", 6, 0), ReplicaUse("r1", 1, 0), ReplicaUse("r2", 6, 0)]
    world.load_tracker.on_peer_calls("peer", uses, world.time.clock.now())
    for _ in range(4):
        world.start_request(idempotent=True)
    assert {send.replica.id for send in world.sends} == {"r1"}


@pytest.mark.parametrize(
    ("kind", "began", "notified"),
    [
        (FailureKind.TIMED_OUT, False, True),
        (FailureKind.CONNECT, False, True),
        (FailureKind.TRUNCATED, False, True),
        (FailureKind.INVALID, False, True),
        (FailureKind.INVALID, True, False),
        (FailureKind.TIMED_OUT, True, False),
        (FailureKind.TRUNCATED, True, False),
        (FailureKind.DEADLINE, False, False),
    ],
)
def test_the_placer_is_notified_of_replicas_that_do_not_answer(
    kind: FailureKind, began: bool, notified: bool
) -> None:
    """Guard against a placer that keeps choosing an unreachable replica.

    A replica that resets each connection looks idle to the placer.
    """
    world = ForwardWorld()
    world.start_request(idempotent=True, caller=Caller())
    replica = world.sends[0].replica
    if began:
        world.sends[0].events(1)
    world.sends[0].fail(kind, Sent.MAYBE)
    assert world.unanswered == ([replica] if notified else [])
