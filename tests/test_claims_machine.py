"""Test with a state machine that a request with an idempotency key runs at most once."""

import os
from collections.abc import Iterator
from typing import Any

import hypothesis.strategies as st
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from result import Err

from papayapier.claims.api import Done, New, Running, Unknown
from papayapier.claims.records import claim_id
from papayapier.errors import ErrorKind, Outcome
from papayapier.settings import ClaimSettings
from tests.claims_simulation import CONTENTS, Delivery, Fleet, invariants_checked, make_answer
from tests.fake_store import Fault

KEYS = ("k2", "k4", "k13")  # all in one shard


@pytest.fixture(autouse=True)
def check_invariants() -> Iterator[None]:
    with invariants_checked():
        yield


class _Run:
    """Track one claim that begin() returned as new."""

    def __init__(self, delivery: Delivery, token: bytes) -> None:
        self.delivery = delivery
        self.token = token
        self.sent = False

    def alive(self) -> bool:
        return not self.delivery.instance.dead


class ClaimsMachine(RuleBasedStateMachine):
    """Send requests in any order to instances that crash and pause, with a faulty store.

    The machine plays the entry: it sends each request for which it received a new token once, then
    finishes or abandons the token. It records what ran, and checks every result against that.
    """

    names = st.sampled_from(["a", "b", "c"])
    keys = st.sampled_from(KEYS)
    picks = st.integers(0, 1_000)

    @initialize(head_bytes=st.sampled_from([40, 100, 250]), latency_ms=st.sampled_from([0, 5, 20]))
    def start(self, head_bytes: int, latency_ms: int) -> None:
        cfg = ClaimSettings(head_bytes=head_bytes)
        self.fleet = Fleet(["a", "b", "c"], cfg, latency_ms)
        self.open: list[Delivery] = []
        self.already_ran: list[Delivery] = []
        self.runs: list[_Run] = []
        self.ran: dict[str, list[bytes]] = {}
        self.finished: dict[str, set[bytes]] = {}
        self.crashed: set[str] = set()

    @rule(
        names=st.lists(names, min_size=1, max_size=4),
        key=keys,
        other=st.integers(0, 9),
        due_in_ms=st.sampled_from([50, 300, 3_000]),
        then_ms=st.sampled_from([0, 5, 10, 50, 400]),
    )
    def deliver(self, names: list[str], key: str, other: int, due_in_ms: int, then_ms: int) -> None:
        content = CONTENTS[other == 0]
        for name in names:
            if not self.fleet.instances[name].paused:
                delivery = self.fleet.deliver(name, key, content, due_in_ms)
                self.open.append(delivery)
                if content in self.ran.get(key, []):
                    self.already_ran.append(delivery)
        self.advance(then_ms)

    @rule(for_ms=st.sampled_from([5, 20, 100, 500, 3_000]))
    def advance(self, for_ms: int) -> None:
        self.fleet.advance(for_ms)
        self._collect()

    @rule(name=names, for_ms=st.sampled_from([10, 100, 1_000]), answers_first=st.booleans())
    def pause(self, name: str, for_ms: int, answers_first: bool) -> None:
        self.fleet.instances[name].paused = True
        self.fleet.advance(for_ms)
        self.fleet.resume(name, answers_first)
        self._collect()

    @rule(name=names)
    def crash(self, name: str) -> None:
        unsettled = self.fleet.instances[name].claims.unsettled()
        self.crashed |= {key for key in KEYS if claim_id("caller", key) in unsettled}
        self.fleet.start(name)

    @rule(
        fault=st.sampled_from(list(Fault)),
        call=st.sampled_from(["create", "update", "get", ""]),
        delay_ms=st.sampled_from([0, 30, 400, 2_000]),
        times=st.integers(1, 3),
    )
    def fail(self, fault: Fault, call: str, delay_ms: int, times: int) -> None:
        self.fleet.platform.fail(fault, call, delay_ms=delay_ms, times=times)

    @rule(for_ms=st.sampled_from([20, 200, 3_000]), cut=st.sampled_from(["", "a", "b"]))
    def outage(self, for_ms: int, cut: str) -> None:
        platform = self.fleet.platform
        platform.down = not cut
        platform.cut = {cut}
        self.fleet.advance(for_ms)
        platform.down = False
        platform.cut = set()

    @precondition(lambda self: self.runs)
    @rule(pick=picks)
    def send(self, pick: int) -> None:
        run = self.runs[pick % len(self.runs)]
        if run.alive() and not run.sent:
            run.sent = True
            self.ran.setdefault(run.delivery.key, []).append(run.delivery.content)

    @precondition(lambda self: self.runs)
    @rule(pick=picks)
    def end(self, pick: int) -> None:
        run = self.runs[pick % len(self.runs)]
        if not run.alive():
            return
        self.runs.remove(run)
        claims = run.delivery.instance.claims
        if run.sent:
            self.finished.setdefault(run.delivery.key, set()).add(run.token)
            claims.finish(run.token, make_answer(run.token.hex()))
        else:
            claims.abandon(run.token)
        self._collect()

    @invariant()
    def runs_at_most_once(self) -> None:
        for key, contents in getattr(self, "ran", {}).items():
            assert len(contents) == 1, (key, contents)

    def _collect(self) -> None:
        """Remove the finished deliveries, and check their results."""
        for delivery in [d for d in self.open if d.result and not d.instance.dead]:
            self.open = [other for other in self.open if other is not delivery]
            self._check_result(delivery, delivery.result[0])

    def _check_result(self, delivery: Delivery, begun: Any) -> None:
        key = delivery.key
        if isinstance(begun, Err):
            kind = begun.err_value.kind
            if kind is ErrorKind.KEY_CONFLICT:
                assert not any(delivery is other for other in self.already_ran)
            elif kind is ErrorKind.STILL_RUNNING:
                assert begun.err_value.outcome is Outcome.UNKNOWN
            return
        end = begun.ok_value
        if isinstance(end, New):
            assert key not in self.ran
            assert not any(r.delivery.key == key and r.alive() for r in self.runs)
            self.runs.append(_Run(delivery, end.token))
        elif isinstance(end, Done):
            assert end.answer is not None
            assert bytes.fromhex(end.answer.body.decode()) in self.finished[key]
            assert self.ran[key] == [delivery.content]

    def teardown(self) -> None:
        """Remove all faults; then the result for every key must match what ran."""
        if not hasattr(self, "fleet"):
            return
        self.fleet.platform.clear_faults()
        self.fleet.advance(20_000)
        self._collect()
        assert not [d for d in self.open if not d.instance.dead]
        for key in KEYS:
            content = self.ran.get(key, [CONTENTS[0]])[0]
            for name in ("a", "b", "c"):
                self._check_final_result(self.fleet.settled(self.fleet.deliver(name, key, content)))

    def _check_final_result(self, delivery: Delivery) -> None:
        key, begun = delivery.key, delivery.result[0]
        unfinished = [run for run in self.runs if run.delivery.key == key]
        if isinstance(begun, Err):
            # Only a claim that is neither finished nor abandoned may keep a request waiting.
            assert begun.err_value.kind in (ErrorKind.STILL_RUNNING, ErrorKind.KEY_CONFLICT)
            assert unfinished or key in self.crashed, begun
            return
        self._check_result(delivery, begun)
        end = begun.ok_value
        if isinstance(end, Unknown):
            assert key in self.crashed, "no crashed instance could have claimed this key"
        elif isinstance(end, Running):
            assert unfinished, "no instance has this claim"


def test_no_request_runs_twice() -> None:
    run_state_machine_as_test(
        ClaimsMachine,
        settings=settings(
            derandomize=True,
            deadline=None,
            database=None,
            # Shrinking takes minutes here; a failure prints its steps without shrinking.
            phases=[Phase.generate],
            max_examples=int(os.environ.get("CLAIMS_EXAMPLES", "60")),
            stateful_step_count=40,
        ),
    )
