"""Test which instances are offered stalled jobs, and which then run them."""

import pytest

from papayapier.policy.handover import (
    HANDOVER_EXPIRY_MS,
    PEERS_PER_ROUND,
    HandoverTracker,
    OfferRotation,
)


@pytest.mark.parametrize("count", [1, 2, 3, 4, 30, 200])
def test_every_able_instance_gets_an_offer(count: int) -> None:
    """Guard against a job that never starts because able instances get no offer."""
    able = [f"k{number:03}" for number in range(count)]
    offers = OfferRotation("k000")
    offered: list[str] = []
    for _ in range(-(-(count - 1) // PEERS_PER_ROUND)):
        found = offers.next_peers(able)
        assert len(found) <= PEERS_PER_ROUND
        offered += found
    assert set(offered) == set(able) - {"k000"}


def test_unable_owner_offers_to_able_instances() -> None:
    """Guard against an owner that offers nothing because it is not able itself."""
    assert set(OfferRotation("z").next_peers(["a", "b"])) == {"a", "b"}


def test_handover_ends_when_returned_or_expired() -> None:
    """Guard against a job that stays handed over to an instance that does not run it."""
    handovers = HandoverTracker()
    handovers.on_peer_runs("job", "a", 0)
    handovers.on_peer_runs("job", "b", 0)
    assert handovers.holder("job") == "a"
    assert not handovers.expire(["a"], HANDOVER_EXPIRY_MS - 1)
    handovers.on_returned("job", "b")
    assert handovers.holder("job") == "a"
    assert handovers.expire(["b"], 1)
    handovers.on_peer_runs("job", "b", 1)
    assert handovers.expire(["b"], 1 + HANDOVER_EXPIRY_MS)
    handovers.on_peer_runs("job", "b", 0)
    handovers.on_returned("job", "b")
    assert handovers.holder("job") is None
