"""Test controllers of orders over a fake platform."""

from itertools import pairwise

from papayapier.config.upstreams import RoleCount
from papayapier.orders.items import assign_roles, parse_order_id
from papayapier.upstream.orders import OrderKind
from tests.orders_world import LEASE_MS, LONGEST_MS, World, wanted_pass


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
    item = parse_order_id("12-1/load_model/org/model-7b").unwrap()
    assert (item.kind, item.name) == (OrderKind.LOAD_MODEL, "org/model-7b")
    assert parse_order_id("strange").is_err()
