"""Decide how long an online request may wait for a replica, and when a refused caller retries.

Motivation: traffic jumps to almost twice its mean for some seconds out of every six, and for these
seconds exceeds what the replicas can run. A request that is refused early can still be served in
time by its next attempt; one that waits long is served late and delays all requests behind it. So
the wait is limited to a part of the time in which the answer has its full value, and the retries
are spread out, or they would all arrive in one new burst.
"""

import random
from typing import Final

# A quarter of the objective: by the platform's rules a refusal within it leaves the next attempt
# its full value, and the run itself needs most of the rest.
WAIT_SHARE: Final = 0.25
# Used where a route states no objective.
DEFAULT_WAIT_MS: Final = 100
# By the platform's rules callers honour a retry time up to a third of the time that they have left;
# they shorten later ones to that.
RETRY_AFTER_SHARE: Final = 1 / 3
MIN_RETRY_AFTER_MS: Final = 100
MAX_RETRY_AFTER_MS: Final = 1_500
# The first attempt of a caller has the timeout of the route left, or more.
FIRST_TIME_SLACK_MS: Final = 20
# A first event takes this share of the objective at most, whatever was measured under load.
FIRST_EVENT_SHARE: Final = 0.5


def is_repeated(left_ms: int, timeout_ms: int) -> bool:
    """Tell whether a caller has spent time on an earlier attempt; timeout_ms 0 is unknown."""
    return left_ms < timeout_ms - FIRST_TIME_SLACK_MS


def start_by_ms(arrived_ms: int, objective_ms: int, typical_ms: float) -> int:
    """Return when a request must start to be in time, if its first event takes the typical time."""
    objective_ms = objective_ms or DEFAULT_WAIT_MS
    return arrived_ms + objective_ms - round(min(typical_ms, objective_ms * FIRST_EVENT_SHARE))


def wait_limit_ms(objective_ms: int) -> int:
    """Return how long a request may wait for its start, in ms."""
    return int(objective_ms * WAIT_SHARE) if objective_ms else DEFAULT_WAIT_MS


def retry_after_ms(expected_ms: int, left_ms: int, rand: random.Random) -> int:
    """Return when a refused caller should retry, in ms; left_ms 0 is unknown."""
    longest = (
        min(MAX_RETRY_AFTER_MS, int(left_ms * RETRY_AFTER_SHARE)) if left_ms > 0 else expected_ms
    )
    longest = max(MIN_RETRY_AFTER_MS, longest)
    shortest = min(max(MIN_RETRY_AFTER_MS, expected_ms), longest)
    return rand.randint(shortest, longest)
