"""Test that requests are repeated only where they may be, and refused truthfully."""

import pytest
from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers

from papayapier import events
from papayapier.dispatch.lost_sends import name_work
from papayapier.errors import ErrorKind, Outcome
from papayapier.policy.crashes import LOSSES_MOST, Loss
from papayapier.policy.loads import ReplicaUse
from papayapier.policy.placers import Placed, Wanting
from papayapier.policy.routing import RouteRequest
from papayapier.upstream.api import FailureKind, Sent
from papayapier.upstream.raw import RawAnswer
from tests.forward_world import Caller, Ended, ForwardWorld
from tests.log_catcher import LogCatcher

LOST = [
    (FailureKind.CUT, Sent.MAYBE),
    (FailureKind.SILENT, Sent.MAYBE),
    (FailureKind.BROKEN, Sent.MAYBE),
    (FailureKind.WRONG_ID, Sent.MAYBE),
]


@pytest.mark.parametrize("replica", ["r0", "r1", "r2"])
def test_a_request_goes_where_it_is_placed(replica: str) -> None:
    world = ForwardWorld()
    world.placed = Placed(replica)
    world.begin(idempotent=True)
    assert world.sends[0].replica.id == replica


def test_a_placed_replica_that_is_not_listed_here_is_not_used() -> None:
    # The placer's list may be older, and its replica may have left.
    world = ForwardWorld()
    world.placed = Placed("gone")
    world.begin(idempotent=True)
    assert world.sends[0].replica in world.replicas


def test_a_request_whose_work_is_held_while_it_waits_for_a_place_is_not_sent() -> None:
    # Failure: copies that wait for room end one replica more each, after their work is held.
    world = ForwardWorld()
    waiting: Deferred[Placed] = Deferred()

    async def place(_req: RouteRequest, _wanting: Wanting) -> Placed:
        return await waiting

    world.deps = world.deps._replace(place=place)
    ends = world.begin(idempotent=True, body=b"crash")
    work = name_work("POST", "", "/a", b"crash")
    world.crashes.on_told([Loss(work, f"gone{n}", 0) for n in range(LOSSES_MOST)], ())
    waiting.callback(Placed("r0"))
    assert not world.sends
    ended = ends[0]
    assert isinstance(ended, Err)
    assert (ended.err_value.kind, ended.err_value.outcome) == (
        ErrorKind.ENDS_REPLICAS,
        Outcome.NOT_RUN,
    )


@pytest.mark.parametrize(("kind", "sent"), LOST)
def test_a_request_that_may_run_once_is_sent_once(kind: FailureKind, sent: Sent) -> None:
    world = ForwardWorld()
    ends = world.begin(idempotent=False)
    world.sends[0].fail(kind, sent)
    assert len(world.sends) == 1
    ended = ends[0]
    assert isinstance(ended, Err)
    assert ended.err_value.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_replica_that_did_not_run_it_costs_no_attempt(idempotent: bool) -> None:
    # Symptom: a request is refused although other replicas are free.
    # Events: a full replica answers that it did not run the request, where the route allows
    # one replica. Cause: the answer was counted as a run.
    world = ForwardWorld()
    ends = world.begin(idempotent, attempts=1)
    world.sends[0].fail(FailureKind.STATUS, Sent.NO, 503)
    world.time.advance(100)
    assert len(world.sends) == 2
    assert world.sends[1].replica != world.sends[0].replica
    world.sends[1].answer()
    assert isinstance(ends[0], Ok)


def test_when_all_replicas_reject_the_refusal_is_not_run() -> None:
    world = ForwardWorld()
    ends = world.begin(idempotent=False)
    while not ends:
        world.sends[-1].fail(FailureKind.STATUS, Sent.NO, 503)
        world.time.advance(1_000)
    ended = ends[0]
    assert isinstance(ended, Err)
    assert ended.err_value.outcome is Outcome.NOT_RUN
    assert len(world.sends) <= 5


def test_one_send_of_unknown_fate_makes_the_whole_unknown() -> None:
    world = ForwardWorld()
    ends = world.begin(idempotent=True, attempts=2)
    world.sends[0].fail(FailureKind.CUT, Sent.MAYBE)
    world.time.advance(1_000)
    for _ in range(6):
        if ends:
            break
        world.sends[-1].fail(FailureKind.CONNECT, Sent.NO)
        world.time.advance(1_000)
    ended = ends[0]
    assert isinstance(ended, Err)
    assert ended.err_value.outcome is Outcome.UNKNOWN


def test_a_failed_answer_is_passed_on_when_no_other_replica_does_better() -> None:
    world = ForwardWorld()
    ends = world.begin(idempotent=True, attempts=2)
    world.sends[0].answer(500, b"first")
    world.time.advance(1_000)
    world.sends[1].fail(FailureKind.CUT, Sent.MAYBE)
    world.time.advance(1_000)
    assert ends[0].unwrap().status == 500


def test_the_end_of_a_request_says_whose_answer_it_had() -> None:
    # Failure: the end of a request that got an earlier replica's answer leaves no line.
    world = ForwardWorld()
    with LogCatcher().applicationbound() as logs:
        world.begin(idempotent=True, attempts=2)
        world.sends[0].answer(500)
        world.time.advance(1_000)
        world.sends[1].fail(FailureKind.CUT, Sent.MAYBE)
    (ended,) = logs.fields(events.REQUEST_ENDED)
    assert (ended["status"], ended["kept"]) == (500, True)


def test_a_stream_that_is_sent_again_says_why_and_from_where() -> None:
    # Failure: nobody can tell from the lines how far a stream had come when its replica broke off.
    world = ForwardWorld()
    with LogCatcher().applicationbound() as logs:
        world.begin(idempotent=True, caller=Caller())
        world.sends[0].events(1, 2)
        world.sends[0].fail(FailureKind.CUT, Sent.MAYBE)
        world.time.advance(100)
    (again,) = logs.fields(events.REQUEST_RETRIED)
    assert (again["kind"], again["last_event"]) == ("cut", 2)


def test_a_failed_answer_to_a_request_that_may_run_once_is_final() -> None:
    world = ForwardWorld()
    ends = world.begin(idempotent=False)
    world.sends[0].answer(500, b"failed")
    assert ends[0] == Ok(RawAnswer(500, Headers(), b"failed"))
    assert len(world.sends) == 1


def test_a_broken_stream_goes_on_elsewhere_after_the_last_whole_event() -> None:
    # Symptom: pieces of a stream are missing, come twice or are joined.
    # Events: the replica breaks off within event 3; another one resumes after event 2.
    world = ForwardWorld()
    caller = Caller()
    ends = world.begin(idempotent=True, caller=caller)
    world.sends[0].events(1, 2)
    world.sends[0].data(b"id: 3\nda")
    world.sends[0].fail(FailureKind.CUT, Sent.MAYBE)
    world.time.advance(100)
    assert world.sends[1].replica != world.sends[0].replica
    world.sends[1].events(3, 4)
    world.sends[1].answer()
    assert isinstance(ends[0], Ok)
    assert caller.heads == 1
    assert caller.body == b"".join(f"id: {n}\ndata: {n}\n\n".encode() for n in (1, 2, 3, 4))


@pytest.mark.parametrize("given_up_for", ["attempts", "replicas", "time"])
def test_a_begun_stream_does_not_end_with_an_earlier_answer(given_up_for: str) -> None:
    # Failure: a stream that breaks off ends as complete, by an error met before it began.
    world = ForwardWorld()
    ends = world.begin(idempotent=True, caller=Caller(), attempts=3)
    world.sends[0].answer(500, b"failed")
    world.time.advance(1_000)
    world.sends[1].events(1, 2)
    if given_up_for == "replicas":
        world.replicas.clear()
        world.list_replicas()
    if given_up_for == "time":
        world.time.advance(5_000)
    world.sends[1].fail(FailureKind.CUT, Sent.MAYBE)
    world.time.advance(1_000)
    if given_up_for == "attempts":
        world.sends[2].fail(FailureKind.CUT, Sent.MAYBE)
    assert isinstance(ends[0], Err), ends


@pytest.mark.parametrize("status", [400, 404, 422, 500])
def test_a_begun_stream_does_not_end_with_the_error_of_who_resumes_it(status: int) -> None:
    # Failure: a stream ends as complete where the replica asked to go on answers with an error.
    world = ForwardWorld()
    ends = world.begin(idempotent=True, caller=Caller(), attempts=2)
    world.sends[0].events(1, 2)
    world.sends[0].fail(FailureKind.CUT, Sent.MAYBE)
    world.time.advance(1_000)
    world.sends[1].answer(status, b"failed")
    world.time.advance(1_000)
    assert isinstance(ends[0], Err), ends


def test_a_stream_goes_on_after_an_error_of_who_resumes_it() -> None:
    world = ForwardWorld()
    caller = Caller()
    ends = world.begin(idempotent=True, caller=caller)
    world.sends[0].events(1)
    world.sends[0].fail(FailureKind.CUT, Sent.MAYBE)
    world.time.advance(1_000)
    world.sends[1].answer(404, b"failed")
    world.time.advance(1_000)
    world.sends[2].events(2)
    world.sends[2].answer()
    assert isinstance(ends[0], Ok), ends
    assert caller.body == b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"


@pytest.mark.parametrize("first", [1, 2, 4])
def test_a_resumed_stream_goes_on_with_the_next_event_or_not_at_all(first: int) -> None:
    # Failure: pieces come twice or are missing, since a replica goes on at another event.
    world = ForwardWorld()
    caller = Caller()
    world.begin(idempotent=True, caller=caller)
    world.sends[0].events(1, 2)
    world.sends[0].fail(FailureKind.CUT, Sent.MAYBE)
    world.time.advance(1_000)
    taker = world.sends[1].taker
    assert taker is not None
    event = f"id: {first}\ndata: {first}\n\n".encode()
    fault = taker.on_data(event[:5], 1) or taker.on_data(event[5:], 1)
    assert fault is not None
    world.sends[1].fail(fault.kind, Sent.MAYBE)
    world.time.advance(1_000)
    world.sends[2].events(3)
    assert caller.body == b"".join(f"id: {n}\ndata: {n}\n\n".encode() for n in (1, 2, 3))


@pytest.mark.parametrize("resumable", [True, False])
def test_only_a_stream_that_may_be_resumed_must_go_on_where_its_caller_asked(
    resumable: bool,
) -> None:
    # Failure: a replica's own answer is refused, where it need not heed the caller's last event.
    world = ForwardWorld()
    world.begin(idempotent=resumable, caller=Caller(), last_event=4)
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
def test_what_is_asked_often_is_not_held_for_a_crashing_request(
    crashing_ms: int, seed: int
) -> None:
    # Failure: a request that is asked often is held for minutes, because its tries and those of the
    # one that ends replicas follow each other at once to the same three of few replicas.
    world = ForwardWorld(replicas=2, seed=seed)
    began: dict[int, int] = {}
    sound: list[list[Ended]] = []
    for now in range(0, 2_000, STEP_MS):
        if now % SOUND_GAP_MS == 0:
            sound.append(world.begin(idempotent=True, body=b"sound"))
        if now == crashing_ms:
            world.begin(idempotent=True, body=b"crash")
        world.time.advance(STEP_MS)
        for number, send in enumerate(list(world.sends)):
            open_ms = now - began.setdefault(number, now)
            if send.done.called:
                continue
            if send.call.body == b"crash" and open_ms >= CRASH_MS:
                world.end_replica(send)
            elif open_ms >= SOUND_MS:
                send.answer()
    kinds = {one[0].unwrap_err().kind for one in sound if one and isinstance(one[0], Err)}
    assert ErrorKind.ENDS_REPLICAS not in kinds


def test_what_was_answered_lately_is_not_held_where_three_replicas_end_at_once() -> None:
    # Failure: what many ask is refused for minutes, since it was open beside a crashing request.
    world = ForwardWorld(replicas=3)
    world.begin(idempotent=True, body=b"sound")
    world.sends[0].answer()
    for replica in list(world.replicas):
        world.placed = Placed(replica.id)
        world.begin(idempotent=False, body=b"sound")
        world.begin(idempotent=False, body=b"crash")
    for send in world.sends[1::2]:
        world.end_replica(send)
    world.placed = Placed("")
    held = [
        isinstance(ended, Err) and ended.err_value.kind is ErrorKind.ENDS_REPLICAS
        for body in (b"sound", b"crash")
        for ended in world.begin(idempotent=False, body=body)
    ]
    assert held == [True], held


def test_little_time_is_left_for_a_send_after_the_pause() -> None:
    world = ForwardWorld()
    ends = world.begin(idempotent=True, due_ms=600)
    for _ in range(LOSSES_MOST - 1):
        world.end_replica(world.sends[-1])
        world.time.advance(100)
    world.time.advance(250)
    world.sends[LOSSES_MOST - 1].answer()
    assert isinstance(ends[0], Ok)


def test_a_broken_stream_that_may_not_be_resumed_ends() -> None:
    world = ForwardWorld()
    caller = Caller()
    ends = world.begin(idempotent=False, caller=caller)
    world.sends[0].events(1)
    world.sends[0].fail(FailureKind.CUT, Sent.MAYBE)
    assert isinstance(ends[0], Err)
    assert len(world.sends) == 1


def test_calls_are_counted_as_long_as_they_are_open() -> None:
    world = ForwardWorld()
    world.begin(idempotent=True)
    assert world.open_calls() == 1
    world.sends[0].answer()
    assert world.open_calls() == 0


def test_calls_spread_over_replicas_that_peers_use_less() -> None:
    # Before: an entry weighed its own calls only, and met full replicas while others idled.
    world = ForwardWorld()
    uses = [ReplicaUse("r0", 6, 0), ReplicaUse("r1", 1, 0), ReplicaUse("r2", 6, 0)]
    world.book.on_peer_uses("peer", uses, world.time.clock.now())
    for _ in range(4):
        world.begin(idempotent=True)
    assert {send.replica.id for send in world.sends} == {"r1"}


@pytest.mark.parametrize(
    ("kind", "began", "told"),
    [
        (FailureKind.SILENT, False, True),
        (FailureKind.CONNECT, False, True),
        (FailureKind.CUT, False, True),
        (FailureKind.SILENT, True, False),
        (FailureKind.CUT, True, False),
        (FailureKind.DUE, False, False),
    ],
)
def test_who_places_hears_of_replicas_that_do_not_answer(
    kind: FailureKind, began: bool, told: bool
) -> None:
    # Failure: whoever places calls goes on naming a dark replica to all, or one that resets each
    # connection, and so looks idle.
    world = ForwardWorld()
    world.begin(idempotent=True, caller=Caller())
    replica = world.sends[0].replica
    if began:
        world.sends[0].events(1)
    world.sends[0].fail(kind, Sent.MAYBE)
    assert world.unanswered == ([replica] if told else [])
