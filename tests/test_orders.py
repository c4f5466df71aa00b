"""Test the plan of orders by a state machine, and controllers over a fake platform."""

import random
from collections import Counter
from itertools import pairwise
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import fake_clock
from papayapier.config.upstreams import OrderRule, RoleCount, UpstreamWanted
from papayapier.orders.controller import (
    ListedReplica,
    OrderControl,
    OrdersDeps,
    start_orders,
)
from papayapier.orders.memory import Answered, Sight
from papayapier.orders.needs import assign_roles, item_of, missing
from papayapier.orders.plan import Give, Look, OrderLimits, OrderPlan
from papayapier.settings import OrderSettings
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent
from papayapier.upstream.orders import EngineState, Order, OrderAnswer, OrderKind, Orders
from tests.fake_store import FakePlatform

LONGEST_MS = 20_000
LEASE_MS = 6_000
GAP_MS = 3_000
LIMITS = OrderLimits(LEASE_MS, GAP_MS, 2)
EMPTY = EngineState((), (), "mixed", "", 0, ())


class FakeEngine:
    """Take orders and have them in effect after a time; count what it is told to load."""

    def __init__(self, now: Any, checks_fence: bool, models: tuple[str, ...] = ("base",)) -> None:
        self.now = now
        self.checks_fence = checks_fence
        self.models = models
        self.state = EMPTY._replace(models=models)
        self.loading: list[tuple[int, Order]] = []
        self.overlaps = 0
        self.taken: Counter[tuple[OrderKind, str]] = Counter()
        self.load_ms = 4_000

    def take(self, order: Order) -> OrderAnswer:
        self.settle()
        if self.checks_fence and order.fence < self.state.fence:
            return OrderAnswer(False, self.state.fence)
        self.overlaps += bool(self.loading)
        self.taken[order.kind, order.name] += 1
        fence = max(order.fence, self.state.fence) if self.checks_fence else 0
        self.state = self.state._replace(fence=fence, orders=(*self.state.orders, order.order_id))
        self.loading.append((self.now() + self.load_ms, order))
        return OrderAnswer(True, fence)

    def settle(self) -> None:
        for due, order in list(self.loading):
            if self.now() >= due:
                self.loading.remove((due, order))
                self._put(order)

    def _put(self, order: Order) -> None:
        state = self.state
        if order.kind is OrderKind.LOAD_MODEL:
            state = state._replace(models=tuple(dict.fromkeys((*state.models, order.name))))
        elif order.kind is OrderKind.LOAD_ADAPTER:
            state = state._replace(adapters=(*state.adapters, order.name))
        elif order.kind is OrderKind.LOAD_VERSION:
            state = state._replace(version=order.name)
        else:
            state = state._replace(role=order.name)
        self.state = state

    def restart(self) -> None:
        self.loading = []
        self.state = EMPTY._replace(models=self.models, fence=self.state.fence)

    def read(self) -> EngineState:
        self.settle()
        return self.state


def wanted_pass(checks_fence: bool = True, **fields: Any) -> UpstreamWanted:
    rule = OrderRule(checks_fence, LONGEST_MS, min_serving=2, min_serving_share=0.5)
    return UpstreamWanted(name="pass", orders=rule, **fields)


class PlanMachine(RuleBasedStateMachine):
    """Drive a plan against engines with lost, late and refused orders, restarts and losses."""

    @initialize(checks=st.booleans(), count=st.integers(3, 5))
    def begin(self, checks: bool, count: int) -> None:
        self.now = 1_000
        self.checks = checks
        self.engines = {f"r{n}": FakeEngine(lambda: self.now, checks) for n in range(count)}
        self.plan = OrderPlan(LIMITS, lambda _: 0)
        self.fence = 1
        self.down: set[str] = set()
        self.any_lost = False
        self.late: list[tuple[str, Order]] = []
        self.loads: list[int] = []
        self.want("v1", ())
        self.take_over(clean=True)

    @rule(version=st.sampled_from(["v1", "v2"]), models=st.sampled_from([(), ("a",), ("a", "b")]))
    def want(self, version: str, models: tuple[str, ...]) -> None:
        roles = (RoleCount("prefill", 1),)
        self.wanted = wanted_pass(self.checks, version=version, models=models, roles=roles)
        self.plan.set_wanted([self.wanted])

    @rule(clean=st.just(False))
    def take_over(self, clean: bool) -> None:
        """Let another controller begin; orders of the old one are no longer on their way."""
        self.fence += 1
        self.late = []
        self.plan.set_replicas(self._sights())
        self.plan.begin(self.now, clean)
        self.loads = []

    @rule(steps=st.integers(1, 40), fate=st.sampled_from(["ok", "lost", "late", "dropped"]))
    def pass_time(self, steps: int, fate: str) -> None:
        for _ in range(steps):
            self.now += 500
            self._deliver_late()
            self.plan.set_replicas(self._sights())
            for step in self.plan.steps(self.fence, self.now):
                if isinstance(step, Give):
                    self._give(step, fate)
                    fate = "ok"
                else:
                    self._look(step)
            self._check_capacity()
            self.plan.notes()

    @rule(name=st.sampled_from(["r0", "r1", "r2"]))
    def restart_engine(self, name: str) -> None:
        self.engines[name].restart()

    @rule(name=st.sampled_from(["r0", "r1"]), lost=st.booleans())
    def lose_engine(self, name: str, lost: bool) -> None:
        self.down = {name} if lost else set()
        self.any_lost = True

    def _sights(self) -> list[Sight]:
        return [Sight(name, "pass", name not in self.down) for name in self.engines]

    def _give(self, give: Give, fate: str) -> None:
        name, order = give
        if order.kind is not OrderKind.CHANGE_ROLE:
            assert not self.loads or self.now - self.loads[-1] >= GAP_MS
            self.loads.append(self.now)
        if name in self.down:
            self.plan.answered(name, order.order_id, Answered.NOT_SENT, self.now)
        elif fate == "ok":
            answer = self.engines[name].take(order)
            kind = Answered.ACCEPTED if answer.accepted else Answered.REFUSED
            self.plan.answered(name, order.order_id, kind, self.now)
        else:
            if fate == "lost":
                self.engines[name].take(order)
            elif fate == "late":
                self.late.append((name, order))
            self.plan.answered(name, order.order_id, Answered.LOST, self.now)

    def _deliver_late(self) -> None:
        for name, order in self.late:
            self.engines[name].take(order)
        self.late = []

    def _look(self, look: Look) -> None:
        if look.replica_id not in self.down:
            state = self.engines[look.replica_id].read()
            self.plan.seen(look.replica_id, state, self.now, self.now)

    def _check_capacity(self) -> None:
        """Count replicas out of service by our orders; lost ones are not the plan's doing."""
        for engine in self.engines.values():
            engine.settle()
        blocked = [n for n, e in self.engines.items() if e.loading and n not in self.down]
        serving = len(self.engines) - len(blocked)
        assert serving >= min(2, len(self.engines) - 1)

    @invariant()
    def no_engine_loads_two_things_at_once(self) -> None:
        assert all(engine.overlaps == 0 for engine in getattr(self, "engines", {}).values())

    def teardown(self) -> None:
        if not hasattr(self, "engines"):
            return
        self.down = set()
        for _ in range(30):
            self.pass_time(50, "ok")
            if not self.plan.busy():
                break
        for engine in self.engines.values():
            assert missing(self.wanted, engine.read(), "") == []
        prefill = [engine.state.role for engine in self.engines.values()].count("prefill")
        # A replica that was lost while another took its role keeps it when it returns.
        assert prefill >= 1 if self.any_lost else prefill == 1


TestPlanMachine = PlanMachine.TestCase
TestPlanMachine.settings = settings(
    derandomize=True, deadline=None, database=None, max_examples=60, stateful_step_count=20
)


class World:
    """Run several controllers against one platform and one set of engines."""

    def __init__(self, names: str, checks_fence: bool, replicas: int = 4) -> None:
        self.time = fake_clock()
        self.platform = FakePlatform(self.time.clock)
        self.checks_fence = checks_fence
        self.wanted = [wanted_pass(checks_fence, version="v2")]
        self.engines = {
            f"r{n}": FakeEngine(self.time.clock.now, checks_fence) for n in range(replicas)
        }
        self.given: list[tuple[int, str, str, Order]] = []
        self.lose_answers = 0
        self.controls: dict[str, OrderControl] = {}
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        async def give(replica: Replica, order: Order) -> Result[OrderAnswer, Failure]:
            self.given.append((int(self.time.clock.now()), name, replica.id, order))
            answer = self.engines[replica.id].take(order)
            if self.lose_answers:
                self.lose_answers -= 1
                return Err(Failure(FailureKind.CUT, Sent.MAYBE, "cut"))
            return Ok(answer)

        async def state(replica: Replica) -> Result[EngineState, Failure]:
            return Ok(self.engines[replica.id].read())

        unused: Any = None
        self.controls[name] = start_orders(
            OrdersDeps(
                clock=self.time.clock,
                rand=random.Random(name),
                store=self.platform.store(name),
                cfg=OrderSettings(),
                instance=name,
                orders=Orders(give, state, unused, unused, unused),
                wanted=lambda: self.wanted,
                replicas=lambda: [
                    ListedReplica(Replica(id, "pass", "127.0.0.1", 1, "dc-a"), True)
                    for id in self.engines
                ],
                instances=lambda: sorted(self.controls),
                need=lambda _: 0,
            )
        )

    def run(self, ms: int) -> None:
        for _ in range(ms // 250):
            self.time.advance(250)

    def stop(self, name: str) -> None:
        Deferred.fromCoroutine(_stop(self.controls.pop(name)))

    def controller(self) -> str:
        return next(n for n, c in self.controls.items() if c.show().controller == n)

    def versions(self) -> list[str]:
        return [engine.read().version for engine in self.engines.values()]


async def _stop(control: OrderControl) -> None:
    await control.stop()


def test_one_controller_rolls_out_replica_by_replica() -> None:
    world = World("abc", checks_fence=True)
    world.run(60_000)
    assert world.versions() == ["v2"] * 4
    assert len({name for _, name, _, _ in world.given}) == 1
    times = [at for at, _, _, _ in world.given]
    assert all(later - at >= 5_000 for at, later in pairwise(times))
    assert [engine.taken.total() for engine in world.engines.values()] == [1] * 4


def test_lost_answer_does_not_repeat_an_order() -> None:
    # Symptom: an engine loads the same weights twice, and the second load takes it out of
    # service again.
    # Sequence: the engine takes the order, its answer is lost.
    # Cause: the order repeated without reading back that it did not take.
    world = World("a", checks_fence=True)
    world.lose_answers = 4
    world.run(60_000)
    assert world.versions() == ["v2"] * 4
    assert [engine.taken.total() for engine in world.engines.values()] == [1] * 4


def test_paused_controller_gives_no_order_after_its_lease() -> None:
    # Symptom: two instances order the same engine at once.
    # Sequence: the controller cannot renew; another takes the lease; the first goes on.
    # Cause: the holder trusts that it still is one. It counts from its last renewal's sending.
    world = World("ab", checks_fence=True)
    world.run(9_000)
    first = world.controller()
    world.platform.cut = {first}
    world.run(60_000)
    by_first = [at for at, name, _, _ in world.given if name == first]
    by_other = [at for at, name, _, _ in world.given if name != first]
    assert by_first
    assert by_other
    assert max(by_first) < min(by_other)
    fences = [order.fence for _, _, _, order in world.given]
    assert fences == sorted(fences)
    assert world.versions() == ["v2"] * 4
    assert [engine.taken.total() for engine in world.engines.values()] == [1] * 4


def test_engines_that_ignore_the_number_are_left_alone_for_the_longest_order() -> None:
    # Symptom: an engine that ignores fencing numbers carries out the old controller's order
    # after the new one's, and ends in the older state.
    # Sequence: the old controller's order is on its way when its lease ends.
    # Cause: a new controller that goes on at once. It waits for lease and longest order.
    world = World("ab", checks_fence=False)
    world.run(LEASE_MS + LONGEST_MS + 6_000)
    first = world.controller()
    assert world.given
    world.platform.cut = {first}
    taken_over = world.time.clock.now()
    world.run(90_000)
    others = [at for at, name, _, _ in world.given if name != first]
    assert min(others) >= taken_over + LONGEST_MS + LEASE_MS
    assert world.versions() == ["v2"] * 4


def test_planned_stop_hands_over_at_once() -> None:
    world = World("ab", checks_fence=True)
    world.run(60_000)
    first = world.controller()
    world.wanted = [wanted_pass(True, version="v3")]
    world.stop(first)
    world.run(20_000)
    assert any(name != first for _, name, _, _ in world.given)


def test_version_that_breaks_replicas_stops_its_own_rollout() -> None:
    world = World("a", checks_fence=True)
    for engine in world.engines.values():
        engine.load_ms = 10**9
    world.run(300_000)
    loading = [engine for engine in world.engines.values() if engine.taken]
    assert len(loading) <= 2
    ends = {note.end for note in world.controls["a"].show().lately}
    assert {"failed", "held"} <= ends


def test_nothing_wanted_costs_no_write() -> None:
    world = World("ab", checks_fence=True)
    world.stop("a")
    world.stop("b")
    world.wanted = []
    before = sum(world.platform.writes.values())
    world.start("c")
    world.run(20_000)
    assert sum(world.platform.writes.values()) == before


def test_roles_move_as_few_replicas_as_can_be() -> None:
    wanted = wanted_pass(roles=(RoleCount("prefill", 1), RoleCount("decode", 2)))
    before = {"r0": "decode", "r1": "mixed", "r2": "decode", "r3": "mixed"}
    assert assign_roles(wanted, before) == {"r0": "decode", "r2": "decode", "r1": "prefill"}
    del before["r0"]
    assert assign_roles(wanted, before) == {"r2": "decode", "r1": "prefill", "r3": "decode"}


def test_order_id_tells_what_it_was_for() -> None:
    item = item_of("12-1/load_model/org/model-7b").unwrap()
    assert (item.kind, item.name) == (OrderKind.LOAD_MODEL, "org/model-7b")
    assert item_of("strange").is_err()
