"""Test online requests whose replica is silent, on a fake clock."""

from typing import TYPE_CHECKING, Any, Final

import pytest
from result import Err, Ok
from twisted.internet.defer import Deferred

from papayapier import events
from papayapier.dispatch.retrying import MAX_REJECTIONS
from papayapier.errors import ErrorKind, Outcome, not_run_refusal
from papayapier.policy.outliers import CONSECUTIVE_FAILURES
from papayapier.policy.placers import UNDECIDED, Placement, PlacementNeeds
from papayapier.policy.retries import failed_at
from papayapier.policy.routing import RouteRequest
from papayapier.upstream.api import FailureKind, Sent, Silence
from papayapier.upstream.forward_call import ForwardAnswer, StreamedAnswer
from tests.dispatch_world import GATE, QUESTIONS, WORLDS, DispatchWorld, result
from tests.forward_world import Caller, ForwardWorld
from tests.log_capture import LogCapture

if TYPE_CHECKING:
    from papayapier.upstream.api import Replica
    from tests.dispatch_world import Send as CallSend
    from tests.forward_world import Send


@pytest.fixture(autouse=True)
def close_worlds() -> Any:
    yield
    while WORLDS:
        WORLDS.pop().close()


# Far more open calls than a replica has slots.
MANY_CALLS: Final = 80


def notify(
    send: "Send | CallSend",
    silent_ms: int = 2_000,
    has_bytes: bool = False,
    reused: bool = False,
    answered: bool = True,
) -> bool:
    """Notify the sender of a silence; return whether it has ended the send."""
    ended = []

    def end() -> bool:
        if has_bytes or send.done.called:
            return False
        ended.append(True)
        send.fail(FailureKind.TIMED_OUT, Sent.MAYBE)
        return True

    assert send.call.on_silence is not None
    send.call.on_silence(Silence(silent_ms, reused, answered, end))
    return bool(ended)


def spend_budget(world: ForwardWorld, replica: "Replica") -> None:
    """Use up the retries, also those of the calls that were open at a replica."""
    at = failed_at(world.load_tracker, replica)
    now = world.time.clock.now()
    while world.deps.budget.spend_for_lost_replica("lm", at, now):
        pass


def test_a_stream_that_may_not_be_repeated_outlasts_a_silence() -> None:
    """Guard against a stream cut because its replica was silent for a while."""
    world = ForwardWorld()
    caller = Caller()
    results = world.start_request(False, caller)
    send = world.sends[0]
    send.events(1, 2)
    assert not notify(send)
    send.data(b"id: 3\ndata: 3\n\n")
    send.answer()
    assert results == [Ok(StreamedAnswer(200))]
    assert len(world.sends) == 1


def test_a_silent_stream_moves_to_a_replica_with_room() -> None:
    """Guard against a stream that waits although another replica can go on with it."""
    world = ForwardWorld()
    caller = Caller()
    results = world.start_request(True, caller)
    world.sends[0].events(1, 2)
    assert notify(world.sends[0])
    assert world.sends[1].replica != world.sends[0].replica
    world.sends[1].events(3)
    world.sends[1].answer()
    assert results == [Ok(StreamedAnswer(200))]
    assert caller.body.count(b"data:") == 3


def test_a_silent_stream_without_room_elsewhere_stays_open() -> None:
    """Guard against a stream given up for a replica that cannot take it."""
    world = ForwardWorld()
    results = world.start_request(True, Caller())
    send = world.sends[0]
    send.events(1)
    for replica in world.replicas:
        if replica != send.replica:
            for _ in range(MANY_CALLS):
                world.load_tracker.on_sent(replica.id, False, world.time.clock.now())
    assert not notify(send)
    send.data(b"id: 2\ndata: 2\n\n")
    send.answer()
    assert results == [Ok(StreamedAnswer(200))]


def test_the_last_attempt_outlasts_a_silence() -> None:
    """Guard against a cut after the attempts of a route are used up."""
    world = ForwardWorld()
    results = world.start_request(True, Caller(), attempts=1)
    world.sends[0].events(1)
    assert not notify(world.sends[0])
    world.sends[0].answer()
    assert results == [Ok(StreamedAnswer(200))]


def test_a_silent_stream_outlasts_a_spent_retry_budget() -> None:
    """Guard against a cut because there were too many retries before."""
    world = ForwardWorld(replicas=2)
    silent = world.load_tracker.slots("r0") + 1
    for _ in range(silent):
        results = world.start_request(True, Caller(), attempts=2)
        send = world.sends[-1]
        send.events(1)
        while world.deps.budget.try_spend("lm", world.time.clock.now()):
            pass
        if notify(send):
            send = world.sends[-1]
        send.events(2)
        send.answer()
        assert results == [Ok(StreamedAnswer(200))]


@pytest.mark.parametrize("idempotent", [False, True])
def test_a_silent_call_is_answered_late(idempotent: bool) -> None:
    """Guard against a refusal while the only replica is silent."""
    world = ForwardWorld(replicas=1)
    results = world.start_request(idempotent)
    assert not notify(world.sends[0])
    world.sends[0].answer()
    assert results == [Ok(ForwardAnswer(200, results[0].unwrap().headers, b"whole"))]  # type: ignore[union-attr]


def test_a_replica_that_goes_on_keeps_its_request() -> None:
    """Guard against two answers: bytes that arrive during the search keep the send open."""
    world = ForwardWorld()
    results = world.start_request(True, Caller())
    world.sends[0].events(1)
    assert not notify(world.sends[0], has_bytes=True)
    world.sends[0].answer()
    assert results == [Ok(StreamedAnswer(200))]
    assert len(world.sends) == 1
    assert not any(isinstance(result, Err) for result in results)


def test_a_call_that_may_not_be_repeated_outlasts_a_silence() -> None:
    """Guard against an unknown outcome because a replica was silent for a while."""
    world = DispatchWorld(gate=2)
    pending = world.send_request(GATE)
    assert not notify(world.sends[0])
    world.sends[0].answer()
    assert result(pending).is_ok()
    assert len(world.sends) == 1


def test_a_silent_answer_moves_to_a_replica_with_room() -> None:
    """Guard against a question that waits although another replica can answer it."""
    world = DispatchWorld(lm=2)
    pending = world.send_request(QUESTIONS)
    world.sends[0].token("a ")
    assert notify(world.sends[0])
    assert world.sends[1].replica != world.sends[0].replica
    world.sends[1].token("b")
    world.sends[1].answer()
    assert result(pending).unwrap().text == "a b"


def test_a_silent_answer_without_another_replica_stays_open() -> None:
    """Guard against a refusal while the only replica is silent."""
    world = DispatchWorld(lm=1)
    pending = world.send_request(QUESTIONS)
    world.sends[0].token("a ")
    assert not notify(world.sends[0])
    world.sends[0].token("b")
    world.sends[0].answer()
    assert result(pending).unwrap().text == "a b"


def test_a_budget_spent_during_the_search_keeps_the_stream_open() -> None:
    """Guard against a cut because others have used up the retries during the search."""
    world = ForwardWorld()
    placed: list[Deferred[Placement]] = []

    async def place(_route: RouteRequest, _needs: PlacementNeeds) -> Placement:
        if not world.sends:
            return UNDECIDED
        placed.append(Deferred())
        return await placed[-1]

    world.deps = world.deps._replace(place=place)
    results = world.start_request(True, Caller())
    send = world.sends[0]
    send.events(1)
    assert not notify(send)
    spend_budget(world, send.replica)
    other = next(replica for replica in world.replicas if replica != send.replica)
    placed[0].callback(Placement(other.id, has_capacity=True))
    assert not results
    assert len(world.sends) == 1
    send.events(2)
    send.answer()
    assert results == [Ok(StreamedAnswer(200))]


def test_a_moved_stream_outlasts_rejections_without_a_budget() -> None:
    """Guard against a cut because the replicas to which a silent stream moves are full."""
    world = ForwardWorld()
    results = world.start_request(True, Caller())
    world.sends[0].events(1)
    assert notify(world.sends[0])
    spend_budget(world, world.sends[0].replica)
    for _ in range(2 * MAX_REJECTIONS):
        world.sends[-1].fail(FailureKind.STATUS, Sent.NO, 503)
        world.time.run_for(600)
        assert not results
    world.sends[-1].events(2)
    world.sends[-1].answer()
    assert results == [Ok(StreamedAnswer(200))]


def test_a_moved_stream_outlasts_a_refusal_of_the_placer() -> None:
    """Guard against a cut because the placer refuses a stream that has left a silent replica."""
    world = ForwardWorld()
    results = world.start_request(True, Caller())
    world.sends[0].events(1)
    assert notify(world.sends[0])
    world.placed = Placement(refusal=not_run_refusal(ErrorKind.OVERLOADED, "full", 100))
    world.sends[1].fail(FailureKind.STATUS, Sent.NO, 503)
    world.time.run_for(1_000)
    assert not results
    world.placed = UNDECIDED
    world.time.run_for(600)
    world.sends[-1].events(2)
    world.sends[-1].answer()
    assert results == [Ok(StreamedAnswer(200))]


def test_a_second_silence_waits_beside_an_equal_stream() -> None:
    """Guard against a cut because silences made a request one that is sent alone."""
    world = ForwardWorld()
    equal = world.start_request(True, Caller(), due_ms=20_000)
    world.sends[0].events(1)
    results = world.start_request(True, Caller())
    world.sends[1].events(1)
    assert notify(world.sends[1])
    world.sends[2].events(2)
    notify(world.sends[2])
    world.time.run_for(4_900)
    assert not results
    world.sends[-1].events(3)
    world.sends[-1].answer()
    assert results == [Ok(StreamedAnswer(200))]
    assert not equal


def test_a_moved_answer_outlasts_rejections() -> None:
    """Guard against a generation cut because the replicas to which it moves are full."""
    world = DispatchWorld(lm=2)
    pending = world.send_request(QUESTIONS)
    world.sends[0].token("a ")
    assert notify(world.sends[0])
    for _ in range(2 * MAX_REJECTIONS):
        world.sends[-1].fail(FailureKind.STATUS, Sent.NO, 503)
        world.time.run_for(600)
        assert not pending.called
    world.sends[-1].token("b")
    world.sends[-1].answer()
    assert result(pending).unwrap().text == "a b"


@pytest.mark.parametrize("answered", [False, True])
def test_a_silent_replica_is_not_its_own_replacement(answered: bool) -> None:
    """Guard against a stream that leaves a silent replica only to be sent there once more."""
    for prompt in ("a0", "a1", "a2", "a3"):
        world = ForwardWorld()
        world.start_request(True, Caller(), prompt=prompt)
        assert notify(world.sends[0], reused=True, answered=answered)
        assert world.sends[1].replica != world.sends[0].replica


def test_an_answer_that_has_begun_stays_with_the_only_replica() -> None:
    """Guard against a stream that is rejected by the replica that it has just left."""
    world = ForwardWorld(replicas=1)
    world.start_request(True, Caller())
    world.sends[0].events(1)
    assert not notify(world.sends[0], reused=True)


def test_a_kept_connection_to_the_only_replica_is_replaced() -> None:
    """Guard against a request that waits on a dead connection while its replica is well."""
    world = ForwardWorld(replicas=1)
    world.start_request(True, Caller())
    assert notify(world.sends[0], reused=True, answered=False)
    assert world.sends[1].replica == world.sends[0].replica


def test_a_silence_is_logged_when_its_decision_changes() -> None:
    """Guard against a line each half second from every stream of a silent replica."""
    world = ForwardWorld(replicas=1)
    world.start_request(True, Caller())
    world.sends[0].events(1)
    with LogCapture().applicationbound() as logs:
        for _ in range(5):
            notify(world.sends[0])
    assert len(logs.fields_of(events.SEND_SILENT)) == 1


def test_a_failed_search_is_not_repeated() -> None:
    """Guard against an error each half second, and against a request lost by it."""
    world = ForwardWorld()

    async def place(_route: RouteRequest, _needs: PlacementNeeds) -> Placement:
        if world.sends:
            raise RuntimeError("placer")
        return UNDECIDED

    world.deps = world.deps._replace(place=place)
    results = world.start_request(True, Caller())
    world.sends[0].events(1)
    with LogCapture().applicationbound() as logs:
        assert not notify(world.sends[0])
        assert not notify(world.sends[0])
    assert len(logs.fields_of(events.SEARCH_FAILED)) == 1
    world.sends[0].answer()
    assert results == [Ok(StreamedAnswer(200))]


@pytest.mark.parametrize("idempotent", [False, True])
def test_a_placer_is_never_asked_for_none_of_the_replicas(idempotent: bool) -> None:
    """Guard against a request that waits at the placer for all of its time, as no replica is left.

    Each of its replicas has rejected it or was silent once, and may have room again.
    """
    world = ForwardWorld(replicas=2)
    excluded: list[frozenset[str]] = []

    async def place(route: RouteRequest, _needs: PlacementNeeds) -> Placement:
        excluded.append(route.exclude)
        return UNDECIDED

    world.deps = world.deps._replace(place=place)
    world.start_request(idempotent, Caller())
    for _ in range(2):
        world.sends[-1].fail(FailureKind.STATUS, Sent.NO, 503)
        world.time.run_for(600)
    assert len(world.sends) == 3
    assert len(excluded[1]) == 1
    assert not excluded[2]


def test_a_placer_is_asked_for_more_than_an_ejected_replica() -> None:
    """Guard against a request that excludes all replicas but those that its entry avoids anyway."""
    world = ForwardWorld(replicas=3)
    excluded: list[frozenset[str]] = []

    async def place(route: RouteRequest, _needs: PlacementNeeds) -> Placement:
        excluded.append(route.exclude)
        return UNDECIDED

    world.deps = world.deps._replace(place=place)
    for _ in range(CONSECUTIVE_FAILURES):
        world.outliers.on_end("r2", False, None, world.time.clock.now())
    assert world.outliers.is_ejected("r2", world.time.clock.now())
    world.start_request(True, Caller())
    for _ in range(2):
        world.sends[-1].fail(FailureKind.STATUS, Sent.NO, 503)
        world.time.run_for(40)
    assert len(excluded[1]) == 1
    assert not excluded[2]


def test_a_placer_is_not_asked_where_no_other_replica_is_listed() -> None:
    """Guard against a search that queues at the placer for all of a request's time."""
    world = ForwardWorld(replicas=1)
    world.start_request(True, Caller())
    world.sends[0].events(1)
    assert not notify(world.sends[0])
    assert len(world.placement_requests) == 1


@pytest.mark.parametrize("idempotent", [False, True])
def test_a_request_does_not_wait_for_a_replica_that_has_ended(idempotent: bool) -> None:
    """Guard against callers that are kept waiting for a replica that is known to be gone."""
    world = ForwardWorld(replicas=1)
    results = world.start_request(idempotent, Caller(), attempts=1)
    world.sends[0].events(1)
    assert not notify(world.sends[0])
    world.crashes.on_replica_ended(world.sends[0].replica.id)
    assert notify(world.sends[0])
    (result,) = results
    assert isinstance(result, Err)
    assert result.err_value.outcome is Outcome.UNKNOWN
