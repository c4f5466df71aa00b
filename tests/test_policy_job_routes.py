"""Play operators, entries and a keeper that is cut off, and check what the keeper decides on a job.

The operator adds, removes and limits a route; the keeper gets configurations late and reads the
store only at times.
"""

import random
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from papayapier.config.route_table import ConfigPosition
from papayapier.policy.job_routes import JobStep, next_step

STEP_MS = 500
MAX_VERSION_STEP = 2


class Version(NamedTuple):
    """Hold one configuration of a route for jobs; limit_ms is 0 if there is no route."""

    position: ConfigPosition
    limit_ms: int


class Play:
    """Hold what the store has, what the keeper has, and a job that an entry has accepted."""

    def __init__(self, rand: random.Random) -> None:
        self.rand = rand
        self.now = 0
        self.history = [Version(ConfigPosition(1, 1), 0)]
        self.keeper = self.history[0]
        self.accepted: Version | None = None
        self.accepted_ms = 0
        self.doubted_ms: int | None = None
        self.confirmed_ms: int | None = None

    def configure(self) -> None:
        """Write a configuration, sometimes with the version of the one before."""
        last = self.history[-1].position
        step = self.rand.randint(0, MAX_VERSION_STEP)
        position = ConfigPosition(last.version + step, last.revision + 1)
        self.history.append(Version(position, self.rand.choice([0, 2_000, 10_000])))

    def accept(self) -> None:
        """Accept the job at an entry that has the newest configuration."""
        if self.accepted is None and self.history[-1].limit_ms:
            self.accepted = self.history[-1]
            self.accepted_ms = self.now

    def deliver(self) -> None:
        """Give the keeper some configuration that is newer than its own."""
        newer = [version for version in self.history if version.position > self.keeper.position]
        if newer:
            self.keeper = self.rand.choice(newer)

    def read(self) -> None:
        """Let the keeper read the store."""
        self.keeper = self.history[-1]
        self.confirmed_ms = self.now

    def decide(self, accepted: Version) -> JobStep:
        """Return the keeper's decision on the job."""
        is_over = not self.keeper.limit_ms or self.now - self.accepted_ms > self.keeper.limit_ms
        if not is_over:
            self.doubted_ms = None
        elif self.doubted_ms is None:
            self.doubted_ms = self.now
        return next_step(
            self.keeper.position, accepted.position, self.doubted_ms, self.confirmed_ms
        )


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 2**32))
def test_a_job_runs_and_ends_only_by_routes_of_its_own_time(seed: int) -> None:
    """Guard against items that are run or given up by routes older than their job."""
    play = Play(random.Random(seed))
    actions = [play.configure, play.accept, play.deliver, play.read]
    for _ in range(60):
        play.rand.choice(actions)()
        play.now += play.rand.choice([0, STEP_MS])
        accepted = play.accepted
        if accepted is None:
            continue
        step = play.decide(accepted)
        known = [v for v in play.history if v.position >= accepted.position]
        if step is JobStep.GIVE_UP:
            age_ms = play.now - play.accepted_ms
            assert any(not v.limit_ms or age_ms > v.limit_ms for v in known)
            assert play.keeper in known
            assert play.doubted_ms is not None
            assert play.confirmed_ms is not None and play.confirmed_ms >= play.doubted_ms
            return
        if step in (JobStep.RUN, JobStep.CONFIRM):
            assert play.keeper in known


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 2**32))
def test_a_keeper_that_reads_the_store_decides(seed: int) -> None:
    """Guard against a job that is held for ever although the store is reached."""
    play = Play(random.Random(seed))
    while play.accepted is None:
        play.configure()
        play.accept()
    for _ in range(play.rand.randint(0, 3)):
        play.configure()
    play.decide(play.accepted)
    play.now += STEP_MS
    play.read()
    expected = JobStep.GIVE_UP if not play.history[-1].limit_ms else JobStep.RUN
    play.decide(play.accepted)
    play.read()
    assert play.decide(play.accepted) is expected
