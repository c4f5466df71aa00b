"""Test order controllers on a fake platform with fake engines."""

from itertools import pairwise

from papayapier.config.upstreams import RoleCount
from papayapier.orders.items import assign_roles, parse_order_id
from papayapier.upstream.engine_control import OrderKind
from tests.orders_world import LEASE_MS, LONGEST_MS, World, wanted_pass


def test_one_controller_rolls_out_replica_by_replica() -> None:
    """Only one instance may send orders, spaced in time and one per engine."""
    world = World("abc", checks_fence=True)
    world.run(60_000)
    assert world.versions() == ["v2"] * 4
    assert len({name for _, name, _, _ in world.sent}) == 1
    times = [at for at, _, _, _ in world.sent]
    assert all(later - at >= 5_000 for at, later in pairwise(times))
    assert [engine.accepted.total() for engine in world.engines.values()] == [1] * 4


def test_lost_answer_does_not_repeat_an_order() -> None:
    """An order must not be sent again because its answer was lost.

    The engine accepted the order. A second load of the same weights would take it out of service
    again, so the engine's state must be read first.
    """
    world = World("a", checks_fence=True)
    world.lose_answers = 4
    world.run(60_000)
    assert world.versions() == ["v2"] * 4
    assert [engine.accepted.total() for engine in world.engines.values()] == [1] * 4


def test_isolated_controller_sends_no_order_after_its_lease() -> None:
    """Two instances must not send orders to the same engine at once.

    The controller cannot renew its lease and another instance acquires it. The first one must
    have stopped by then: it measures its lease from when it sent the last renewal.
    """
    world = World("ab", checks_fence=True)
    world.run(9_000)
    first = world.controller()
    world.platform.cut = {first}
    world.run(60_000)
    first_times = [at for at, name, _, _ in world.sent if name == first]
    other_times = [at for at, name, _, _ in world.sent if name != first]
    assert first_times
    assert other_times
    assert max(first_times) < min(other_times)
    fences = [order.fence for _, _, _, order in world.sent]
    assert fences == sorted(fences)
    assert world.versions() == ["v2"] * 4
    assert [engine.accepted.total() for engine in world.engines.values()] == [1] * 4


def test_engines_without_fencing_get_no_order_before_the_time_limit() -> None:
    """An engine that ignores fencing numbers must not run an old order after a new one.

    The old controller's order is in flight when its lease ends. The new controller must wait for
    the lease and the time limit of an order, or the engine could end in the older state.
    """
    world = World("ab", checks_fence=False)
    world.run(LEASE_MS + LONGEST_MS + 6_000)
    first = world.controller()
    assert world.sent
    world.platform.cut = {first}
    taken_over = world.time.clock.now()
    world.run(90_000)
    others = [at for at, name, _, _ in world.sent if name != first]
    assert min(others) >= taken_over + LONGEST_MS + LEASE_MS
    assert world.versions() == ["v2"] * 4


def test_planned_stop_hands_over_at_once() -> None:
    """After a released lease another controller must not wait until it would have expired."""
    world = World("ab", checks_fence=True)
    world.run(60_000)
    first = world.controller()
    world.wanted = [wanted_pass(True, version="v3")]
    world.stop(first)
    world.run(20_000)
    assert any(name != first for _, name, _, _ in world.sent)


def test_version_that_breaks_replicas_stops_its_rollout() -> None:
    """A version that no replica can load must not take all replicas out of service."""
    world = World("a", checks_fence=True)
    for engine in world.engines.values():
        engine.load_ms = 10**9
    world.run(300_000)
    loading = [engine for engine in world.engines.values() if engine.accepted]
    assert len(loading) <= 2
    ends = {note.end for note in world.controls["a"].show().lately}
    assert {"failed", "held"} <= ends


def test_no_wanted_state_causes_no_write() -> None:
    """Without wanted state, an instance must not write the lease."""
    world = World("ab", checks_fence=True)
    world.stop("a")
    world.stop("b")
    world.wanted = []
    before = sum(world.platform.writes.values())
    world.start("c")
    world.run(20_000)
    assert sum(world.platform.writes.values()) == before


def test_roles_move_as_few_replicas_as_possible() -> None:
    """Adding or removing a replica must not change the roles of the others."""
    wanted = wanted_pass(roles=(RoleCount("prefill", 1), RoleCount("decode", 2)))
    before = {"r0": "decode", "r1": "mixed", "r2": "decode", "r3": "mixed"}
    assert assign_roles(wanted, before) == {"r0": "decode", "r2": "decode", "r1": "prefill"}
    del before["r0"]
    assert assign_roles(wanted, before) == {"r2": "decode", "r1": "prefill", "r3": "decode"}


def test_order_id_identifies_its_item() -> None:
    """A later controller must be able to parse the item from an order id."""
    item = parse_order_id("12-1/load_model/org/model-7b").unwrap()
    assert (item.kind, item.name) == (OrderKind.LOAD_MODEL, "org/model-7b")
    assert parse_order_id("strange").is_err()
