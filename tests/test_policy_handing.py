"""Test to whom stalled jobs are offered, and who has them then."""

import pytest

from papayapier.policy.handing import HANDOVER_EXPIRY_MS, PEERS_PER_ROUND, HandedJobs, Offers


@pytest.mark.parametrize("count", [1, 2, 3, 4, 30, 200])
def test_everybody_able_is_asked_in_turn(count: int) -> None:
    # Failure: a job never starts, since those that may start its items are never asked.
    able = [f"k{number:03}" for number in range(count)]
    offers = Offers("k000")
    asked: list[str] = []
    for _ in range(-(-(count - 1) // PEERS_PER_ROUND)):
        found = offers.next(able)
        assert len(found) <= PEERS_PER_ROUND
        asked += found
    assert set(asked) == set(able) - {"k000"}


def test_one_that_is_not_able_asks_those_that_are() -> None:
    assert set(Offers("z").next(["a", "b"])) == {"a", "b"}


def test_what_is_handed_on_comes_back() -> None:
    handed = HandedJobs()
    handed.on_taken("job", "a", 0)
    handed.on_taken("job", "b", 0)
    assert handed.holder("job") == "a"
    assert not handed.expire(["a"], HANDOVER_EXPIRY_MS - 1)
    handed.on_given_back("job", "b")
    assert handed.holder("job") == "a"
    assert handed.expire(["b"], 1)
    handed.on_taken("job", "b", 1)
    assert handed.expire(["b"], 1 + HANDOVER_EXPIRY_MS)
    handed.on_taken("job", "b", 0)
    handed.on_given_back("job", "b")
    assert handed.holder("job") is None
