"""Test which granters an entry requests, and which limit a granter applies."""

from collections.abc import Callable
from typing import Any, cast

import pytest
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import fake_clock
from papayapier.config.teams import Team
from papayapier.errors import ErrorKind, Refusal
from papayapier.node.allowances import (
    ANSWER_MS,
    MAX_REQUESTS,
    SKIP_SILENT_MS,
    AllowanceDeps,
    GrantDeps,
    make_allow,
    serve_allowances,
)
from papayapier.peer.messages import AllowAsk, AllowTell, Message
from papayapier.peer.open_requests import PeerError
from papayapier.policy.allowances import AllowanceMargin, Granter, GrantOutcome, granters

TEAM = Team("yard", 5, 5)
KEEPERS = frozenset({"k1", "k2", "k3", "k4"})
FIRST, SECOND, THIRD, LAST = granters(TEAM.name, KEEPERS)


class Hub:
    """Return the configured reply of each granter; granters without a reply time out."""

    def __init__(self) -> None:
        self.time = fake_clock()
        self.replies: dict[str, AllowTell] = {}
        self.requested: list[str] = []

    async def send_request(
        self, peer: str, make_ask: Callable[[int], Message], timeout_ms: int
    ) -> Result[Message, PeerError]:
        assert isinstance(make_ask(1), AllowAsk)
        self.requested.append(peer)
        if peer in self.replies:
            return Ok(self.replies[peer])
        self.time.run_for(timeout_ms)
        return Err(PeerError.TIMEOUT)


def request_grant(hub: Hub, team: Team = TEAM) -> Result[None, Refusal]:
    deps = AllowanceDeps(cast(Any, hub), hub.time.clock, lambda: KEEPERS)
    results: list[Any] = []
    Deferred.fromCoroutine(cast(Any, make_allow(deps)(team, False))).addCallback(results.append)
    return cast(Result[None, Refusal], results[0])


def make_reply(outcome: GrantOutcome, retry_after_ms: int = 0, granter: str = "") -> AllowTell:
    return AllowTell(1, outcome.value, retry_after_ms, granter)


def test_team_without_limit_needs_no_grant() -> None:
    """Guard against requests to granters for a team that has no limit."""
    hub = Hub()
    assert request_grant(hub, Team("depot")) == Ok(None)
    assert hub.requested == []


@pytest.mark.parametrize(
    ("replies", "requested", "kind"),
    [
        ({FIRST: make_reply(GrantOutcome.GRANTED)}, [FIRST], None),
        ({FIRST: make_reply(GrantOutcome.OVER, 700)}, [FIRST], ErrorKind.OVER_ALLOWANCE),
        ({SECOND: make_reply(GrantOutcome.GRANTED)}, [FIRST, SECOND], None),
        ({}, [FIRST, SECOND], ErrorKind.NOT_GRANTED),
        # A granter with a newer view names another granter.
        (
            {
                FIRST: make_reply(GrantOutcome.NOT_HERE, granter=THIRD),
                THIRD: make_reply(GrantOutcome.GRANTED),
            },
            [FIRST, THIRD],
            None,
        ),
        (
            {
                FIRST: make_reply(GrantOutcome.NOT_HERE, granter=SECOND),
                SECOND: make_reply(GrantOutcome.NOT_HERE, granter=FIRST),
            },
            [FIRST, SECOND],
            ErrorKind.NOT_GRANTED,
        ),
        (
            {
                FIRST: make_reply(GrantOutcome.NOT_HERE, granter=THIRD),
                THIRD: make_reply(GrantOutcome.NOT_HERE, granter=LAST),
                LAST: make_reply(GrantOutcome.NOT_HERE, granter="k9"),
            },
            [FIRST, THIRD, LAST],
            ErrorKind.NOT_GRANTED,
        ),
    ],
)
def test_granters_are_tried_in_order(
    replies: dict[str, AllowTell], requested: list[str], kind: ErrorKind | None
) -> None:
    """Guard against refusals although another granter could answer.

    An entry tries the granters in order, follows a NOT_HERE answer to the granter it names, and
    sends at most MAX_REQUESTS requests.
    """
    hub = Hub()
    hub.replies = replies
    done = request_grant(hub)
    assert hub.requested == requested
    assert len(requested) <= MAX_REQUESTS
    if isinstance(done, Err):
        assert done.err_value.kind is kind
        assert done.err_value.retry_after_ms > 0
    else:
        assert kind is None


def test_silent_granter_is_skipped_then_retried() -> None:
    """Guard against each request waiting for a silent granter, or skipping it for ever."""
    hub = Hub()
    hub.replies = {SECOND: make_reply(GrantOutcome.GRANTED)}
    deps = AllowanceDeps(cast(Any, hub), hub.time.clock, lambda: KEEPERS)
    allow = make_allow(deps)
    for _ in range(3):
        Deferred.fromCoroutine(cast(Any, allow(TEAM, False)))
    assert hub.requested == [FIRST, SECOND, SECOND, SECOND]
    hub.time.run_for(SKIP_SILENT_MS + 1)
    Deferred.fromCoroutine(cast(Any, allow(TEAM, False)))
    assert hub.requested[-2:] == [FIRST, SECOND]
    assert hub.time.clock.now() <= SKIP_SILENT_MS + 1 + 2 * ANSWER_MS


class Peers:
    """Fake the peer links of a granter."""

    def __init__(self) -> None:
        self.sent: list[AllowTell] = []
        self.handlers: dict[type, Any] = {}

    def on_change(self, _call: object) -> None:
        pass

    def subscribe(self, kind: type, handler: Any) -> None:
        self.handlers[kind] = handler

    def send(self, _peer: str, message: Any) -> None:
        self.sent.append(message)


@pytest.mark.parametrize(
    ("configured", "requested", "max_granted"),
    [
        (Team("yard", 10, 10), (10, 10), 10),
        (Team("yard", 10, 10), (100, 100), 10),
        (Team("yard", 100, 100), (10, 10), 10),
        (None, (10, 10), 10),
        (Team("yard"), (10, 10), 10),
    ],
)
def test_lower_of_two_limits_applies(
    configured: Team | None, requested: tuple[float, float], max_granted: int
) -> None:
    """Guard against sending more than a lowered allowance permits.

    The limits differ when either the requesting entry or the granter has an outdated configuration.
    """
    time, peers = fake_clock(), Peers()
    bound = AllowanceMargin(5_000, 0.1, 20)
    serve_allowances(
        GrantDeps(
            cast(Any, peers),
            time.clock,
            "k1",
            Granter("k1", bound, time.clock.now()),
            granting=lambda: frozenset({"k1"}),
            listed=lambda: {"k1"},
            leaving=lambda: False,
            team=lambda _name: configured,
        )
    )
    peers.handlers[AllowAsk]("e", AllowAsk(1, "yard", *requested))
    time.jump(60_000)
    peers.sent.clear()
    for number in range(200):
        peers.handlers[AllowAsk]("e", AllowAsk(number, "yard", *requested))
    assert [reply.outcome for reply in peers.sent].count(GrantOutcome.GRANTED.value) == max_granted
    assert peers.sent[-1].retry_after_ms > 0
