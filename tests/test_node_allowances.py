"""Test whom an entry asks for an allowance, and what a granter takes for the limit."""

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
from papayapier.peer.questions import PeerError
from papayapier.policy.allowances import Bound, Grants, Said, granters

TEAM = Team("yard", 5, 5)
KEEPERS = frozenset({"k1", "k2", "k3", "k4"})
FIRST, SECOND, THIRD, LAST = granters(TEAM.name, KEEPERS)


class Hub:
    """Answer as each granter is told to; whoever is not told is silent."""

    def __init__(self) -> None:
        self.time = fake_clock()
        self.says: dict[str, AllowTell] = {}
        self.asked: list[str] = []

    async def ask(
        self, peer: str, make_ask: Callable[[int], Message], timeout_ms: int
    ) -> Result[Message, PeerError]:
        assert isinstance(make_ask(1), AllowAsk)
        self.asked.append(peer)
        if peer in self.says:
            return Ok(self.says[peer])
        self.time.elapse(timeout_ms)
        return Err(PeerError.TIMEOUT)


def allow(hub: Hub, team: Team = TEAM) -> Result[None, Refusal]:
    deps = AllowanceDeps(cast(Any, hub), hub.time.clock, lambda: KEEPERS)
    ends: list[Any] = []
    Deferred.fromCoroutine(cast(Any, make_allow(deps)(team, False))).addCallback(ends.append)
    return cast(Result[None, Refusal], ends[0])


def said(what: Said, after_ms: int = 0, ask: str = "") -> AllowTell:
    return AllowTell(1, what.value, after_ms, ask)


def test_a_team_without_a_limit_is_not_asked_for() -> None:
    hub = Hub()
    assert allow(hub, Team("depot")) == Ok(None)
    assert hub.asked == []


@pytest.mark.parametrize(
    ("says", "asked", "kind"),
    [
        ({FIRST: said(Said.GRANTED)}, [FIRST], None),
        ({FIRST: said(Said.OVER, 700)}, [FIRST], ErrorKind.OVER_ALLOWANCE),
        ({SECOND: said(Said.GRANTED)}, [FIRST, SECOND], None),
        ({}, [FIRST, SECOND], ErrorKind.NOT_GRANTED),
        # One whose view is newer names who grants.
        (
            {FIRST: said(Said.NOT_HERE, ask=THIRD), THIRD: said(Said.GRANTED)},
            [FIRST, THIRD],
            None,
        ),
        (
            {FIRST: said(Said.NOT_HERE, ask=SECOND), SECOND: said(Said.NOT_HERE, ask=FIRST)},
            [FIRST, SECOND],
            ErrorKind.NOT_GRANTED,
        ),
        (
            {
                FIRST: said(Said.NOT_HERE, ask=THIRD),
                THIRD: said(Said.NOT_HERE, ask=LAST),
                LAST: said(Said.NOT_HERE, ask="k9"),
            },
            [FIRST, THIRD, LAST],
            ErrorKind.NOT_GRANTED,
        ),
    ],
)
def test_whom_an_entry_asks(
    says: dict[str, AllowTell], asked: list[str], kind: ErrorKind | None
) -> None:
    hub = Hub()
    hub.says = says
    done = allow(hub)
    assert hub.asked == asked
    assert len(asked) <= MAX_REQUESTS
    if isinstance(done, Err):
        assert done.err_value.kind is kind
        assert done.err_value.retry_after_ms > 0
    else:
        assert kind is None


def test_a_silent_granter_is_passed_over_and_asked_again() -> None:
    hub = Hub()
    hub.says = {SECOND: said(Said.GRANTED)}
    deps = AllowanceDeps(cast(Any, hub), hub.time.clock, lambda: KEEPERS)
    ask = make_allow(deps)
    for _ in range(3):
        Deferred.fromCoroutine(cast(Any, ask(TEAM, False)))
    assert hub.asked == [FIRST, SECOND, SECOND, SECOND]
    hub.time.elapse(SKIP_SILENT_MS + 1)
    Deferred.fromCoroutine(cast(Any, ask(TEAM, False)))
    assert hub.asked[-2:] == [FIRST, SECOND]
    assert hub.time.clock.now() <= SKIP_SILENT_MS + 1 + 2 * ANSWER_MS


class Peers:
    """Stand for the peer links of a granter."""

    def __init__(self) -> None:
        self.told: list[AllowTell] = []
        self.handlers: dict[type, Any] = {}

    def on_change(self, _call: object) -> None:
        pass

    def subscribe(self, kind: type, handler: Any) -> None:
        self.handlers[kind] = handler

    def tell(self, _peer: str, message: Any) -> None:
        self.told.append(message)


@pytest.mark.parametrize(
    ("known", "asked", "most"),
    [
        (Team("yard", 10, 10), (10, 10), 10),
        (Team("yard", 10, 10), (100, 100), 10),
        (Team("yard", 100, 100), (10, 10), 10),
        (None, (10, 10), 10),
        (Team("yard"), (10, 10), 10),
    ],
)
def test_the_lower_limit_of_two_versions_holds(
    known: Team | None, asked: tuple[float, float], most: int
) -> None:
    # Symptom: more is sent than a lowered allowance lets. Cause: an entry that is behind asks with
    # the limit that it knows, or the granter is behind.
    time, peers = fake_clock(), Peers()
    bound = Bound(5_000, 0.1, 20)
    serve_allowances(
        GrantDeps(
            cast(Any, peers),
            time.clock,
            "k1",
            Grants("k1", bound, time.clock.now()),
            granting=lambda: frozenset({"k1"}),
            listed=lambda: {"k1"},
            leaving=lambda: False,
            team=lambda _name: known,
        )
    )
    peers.handlers[AllowAsk]("e", AllowAsk(1, "yard", *asked))
    time.advance(60_000)
    peers.told.clear()
    for number in range(200):
        peers.handlers[AllowAsk]("e", AllowAsk(number, "yard", *asked))
    assert [one.said for one in peers.told].count(Said.GRANTED.value) == most
    assert peers.told[-1].after_ms > 0
