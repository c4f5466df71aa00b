"""Find accepted jobs that no instance runs, and decide which instance takes them over.

A job's owner follows from the set of live instances, and instances' views of that may differ for
longer than any message takes: each of two instances takes the other for the owner, and neither runs
the job. So the instance that would be next to own a job queries its owner whether it runs it, then
each instance that precedes it in the ranking, and takes the job over when each has denied it or not
replied twice. No decision depends on whose view is right: a job that two instances run wastes runs,
and its results stay correct.

The first three instances in the ranking check, each later than the one before: two owners may be
lost at once, and the real first may rank several dead instances before itself.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Final, NamedTuple

from papayapier.policy.rendezvous import score

# An owner that knows of a job starts its first run well within this time.
FIRST_CHECK_MS: Final = 2_000
# Between checks of a job that its owner runs; missed heartbeats reveal a lost owner long before.
CHECK_INTERVAL_MS: Final = 6_000
RETRY_MS: Final = 500
MAX_WATCHERS: Final = 3
MIN_DENIALS: Final = 2


class _Check:
    """Record whom to query about a job, its owner first, the next time, and the denials so far."""

    __slots__ = ("candidates", "denials", "next_ms", "owner")

    def __init__(self, candidates: Sequence[str], next_ms: int) -> None:
        self.owner = candidates[0]
        self.candidates = list(candidates)
        self.next_ms = next_ms
        self.denials = 0


class RunsReply(NamedTuple):
    """Hold an owner's reply about the jobs in a check.

    finished are the jobs of which every result is stored.
    """

    runs: frozenset[str]
    finished: frozenset[str]


class OrphanDetector:
    """Watch the open jobs that other instances own."""

    def __init__(self, me: str) -> None:
        self._me = me
        self._checks: dict[str, _Check] = {}
        # Jobs that others check, with the owner and candidates for which that holds.
        self._watched_by_others: dict[str, tuple[str, Sequence[str]]] = {}
        self._finished: set[str] = set()
        self._taken_over: set[str] = set()

    def is_taken_over(self, job_id: str) -> bool:
        """Tell whether this instance runs a job because its owner does not."""
        return job_id in self._taken_over

    def due_checks(
        self, open_jobs: Mapping[str, str], candidates: Callable[[str], Sequence[str]], now: int
    ) -> dict[str, list[str]]:
        """Return the jobs to check now, by the instance to query.

        open_jobs maps each job to its owner; candidates returns the instances that may own a job.
        """
        self._forget(open_jobs)
        requests: dict[str, list[str]] = {}
        for job_id, owner in open_jobs.items():
            if owner == self._me or job_id in self._finished:
                continue
            check = self._checks.get(job_id)
            if check is None or check.owner != owner:
                check = self._start_checks(job_id, owner, candidates(job_id), now)
                if check is None:
                    continue
            if now >= check.next_ms:
                check.next_ms = now + CHECK_INTERVAL_MS
                requests.setdefault(check.candidates[0], []).append(job_id)
        return requests

    def _start_checks(
        self, job_id: str, owner: str, candidates: Sequence[str], now: int
    ) -> _Check | None:
        """Start to check a job, unless enough other instances precede this one."""
        watched = self._watched_by_others.get(job_id)
        if watched is not None and watched[0] == owner and watched[1] is candidates:
            return None
        preferred = self._preferred(job_id, owner, candidates)
        if len(preferred) >= MAX_WATCHERS and job_id not in self._taken_over:
            self._watched_by_others[job_id] = (owner, candidates)
            return None
        self._watched_by_others.pop(job_id, None)
        check = _Check([owner, *preferred], now + FIRST_CHECK_MS * (1 + len(preferred)))
        self._checks[job_id] = check
        return check

    def on_reply(self, requested: Collection[str], reply: RunsReply, now: int) -> frozenset[str]:
        """Handle a reply; return the jobs that this instance takes over."""
        self._finished.update(reply.finished.intersection(requested))
        denied = [
            known for known in requested if known not in reply.runs and known not in reply.finished
        ]
        for job_id in reply.runs.intersection(requested):
            self._taken_over.discard(job_id)
            if job_id in self._checks:
                self._checks[job_id].denials = 0
        return self._denied(denied, now)

    def take_over(self, job_id: str, owner: str, now: int) -> None:
        """Take over a job that its owner leaves to this instance."""
        self._checks[job_id] = _Check([owner], now + CHECK_INTERVAL_MS)
        self._taken_over.add(job_id)

    def hand_back(self, job_id: str, now: int) -> None:
        """Return a job to its owner, which is notified with the next check."""
        self._taken_over.discard(job_id)
        if job_id in self._checks:
            self._checks[job_id].next_ms = now

    def on_no_reply(self, requested: Collection[str], now: int) -> frozenset[str]:
        """Handle a missing reply; return the jobs that this instance takes over."""
        return self._denied(requested, now)

    def _denied(self, job_ids: Collection[str], now: int) -> frozenset[str]:
        taken_over = set()
        for job_id in job_ids:
            check = self._checks.get(job_id)
            if check is None or job_id in self._taken_over:
                continue
            check.next_ms = now + RETRY_MS
            check.denials += 1
            if check.denials < MIN_DENIALS:
                continue
            check.denials = 0
            check.candidates.append(check.candidates.pop(0))
            if check.candidates[0] == check.owner:
                # No instance that precedes this one runs it.
                check.next_ms = now + CHECK_INTERVAL_MS
                taken_over.add(job_id)
        self._taken_over |= taken_over
        return frozenset(taken_over)

    def _preferred(self, job_id: str, owner: str, candidates: Sequence[str]) -> list[str]:
        """Return the instances that precede this one for a job, except its owner."""
        own_score = score(job_id, self._me)
        ranked = [
            (score(job_id, candidate), candidate)
            for candidate in candidates
            if candidate not in (owner, self._me)
        ]
        return [
            candidate for weight, candidate in sorted(ranked, reverse=True) if weight > own_score
        ]

    def _forget(self, open_jobs: Mapping[str, str]) -> None:
        for job_id in [known for known in self._checks if known not in open_jobs]:
            del self._checks[job_id]
        for job_id in [known for known in self._watched_by_others if known not in open_jobs]:
            del self._watched_by_others[job_id]
        self._finished.intersection_update(open_jobs)
        self._taken_over.intersection_update(open_jobs)
