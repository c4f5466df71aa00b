"""Find accepted jobs that nobody runs, and decide who takes them.

Who owns a job follows from who lives, and views of that may differ for longer than any message
takes: each of two takes the other for the owner, and the job is run by neither. So whoever would be
next in line for a job asks its owner whether it runs it, then each of those before itself, and
takes it when each has said no or nothing twice. Nothing rests on who is right about whom: a job
that two run costs runs, and results stay right.

The first three in line look, each later than the one before: two owners may be lost at once, and
the real first may take several dead ones for better placed than itself.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Final, NamedTuple

from papayapier.policy.rendezvous import score

# A job's first run is begun well within this where its owner knows of it.
FIRST_LOOK_MS: Final = 2_000
# Between looks at a job that its owner runs: an owner is missed by heartbeats long before.
NEXT_LOOK_MS: Final = 6_000
AGAIN_MS: Final = 500
LOOKERS: Final = 3
DENIALS: Final = 2


class _Look:
    """Hold whom to ask for a job, its owner first, when next, and how often that one said no."""

    __slots__ = ("at_ms", "denials", "line", "owner")

    def __init__(self, line: Sequence[str], at_ms: int) -> None:
        self.owner = line[0]
        self.line = list(line)
        self.at_ms = at_ms
        self.denials = 0


class Answered(NamedTuple):
    """Hold what an owner says of the jobs that it was asked for.

    over are those of which every result is stored.
    """

    runs: frozenset[str]
    over: frozenset[str]


class OrphanWatch:
    """Watch the open jobs that others own."""

    def __init__(self, me: str) -> None:
        self._me = me
        self._looks: dict[str, _Look] = {}
        # Jobs that others look after, with the owner and line by which they do.
        self._left: dict[str, tuple[str, Sequence[str]]] = {}
        self._over: set[str] = set()
        self._taken: set[str] = set()

    def taken(self, job_id: str) -> bool:
        """Tell whether this instance runs a job because its owner does not."""
        return job_id in self._taken

    def asks(
        self, open_jobs: Mapping[str, str], line: Callable[[str], Sequence[str]], now: int
    ) -> dict[str, list[str]]:
        """Return which jobs to ask whom for now.

        open_jobs gives each job's owner, line who may own a job.
        """
        self._forget(open_jobs)
        asked: dict[str, list[str]] = {}
        for job_id, owner in open_jobs.items():
            if owner == self._me or job_id in self._over:
                continue
            look = self._looks.get(job_id)
            if look is None or look.owner != owner:
                look = self._begin(job_id, owner, line(job_id), now)
                if look is None:
                    continue
            if now >= look.at_ms:
                look.at_ms = now + NEXT_LOOK_MS
                asked.setdefault(look.line[0], []).append(job_id)
        return asked

    def _begin(self, job_id: str, owner: str, line: Sequence[str], now: int) -> _Look | None:
        """Begin to look after a job, unless enough others come first."""
        left = self._left.get(job_id)
        if left is not None and left[0] == owner and left[1] is line:
            return None
        ahead = self._ahead(job_id, owner, line)
        if len(ahead) >= LOOKERS and job_id not in self._taken:
            self._left[job_id] = (owner, line)
            return None
        self._left.pop(job_id, None)
        look = _Look([owner, *ahead], now + FIRST_LOOK_MS * (1 + len(ahead)))
        self._looks[job_id] = look
        return look

    def on_answer(self, asked: Collection[str], answer: Answered, now: int) -> frozenset[str]:
        """Take an answer; return the jobs that this instance takes from now on."""
        self._over.update(answer.over.intersection(asked))
        denied = [one for one in asked if one not in answer.runs and one not in answer.over]
        for job_id in answer.runs.intersection(asked):
            self._taken.discard(job_id)
            if job_id in self._looks:
                self._looks[job_id].denials = 0
        return self._denied(denied, now)

    def take(self, job_id: str, owner: str, now: int) -> None:
        """Take a job that its owner leaves to this instance."""
        self._looks[job_id] = _Look([owner], now + NEXT_LOOK_MS)
        self._taken.add(job_id)

    def give_back(self, job_id: str, now: int) -> None:
        """Leave a job that was taken to its owner, which is told with the next look."""
        self._taken.discard(job_id)
        if job_id in self._looks:
            self._looks[job_id].at_ms = now

    def on_silence(self, asked: Collection[str], now: int) -> frozenset[str]:
        """Take that no answer came; return the jobs that this instance takes from now on."""
        return self._denied(asked, now)

    def _denied(self, job_ids: Collection[str], now: int) -> frozenset[str]:
        taken = set()
        for job_id in job_ids:
            look = self._looks.get(job_id)
            if look is None or job_id in self._taken:
                continue
            look.at_ms = now + AGAIN_MS
            look.denials += 1
            if look.denials < DENIALS:
                continue
            look.denials = 0
            look.line.append(look.line.pop(0))
            if look.line[0] == look.owner:
                # Nobody before this instance runs it.
                look.at_ms = now + NEXT_LOOK_MS
                taken.add(job_id)
        self._taken |= taken
        return frozenset(taken)

    def _ahead(self, job_id: str, owner: str, line: Sequence[str]) -> list[str]:
        """Return those before this instance in line for a job, its owner left out."""
        mine = score(job_id, self._me)
        ranked = [(score(job_id, one), one) for one in line if one not in (owner, self._me)]
        return [one for rank, one in sorted(ranked, reverse=True) if rank > mine]

    def _forget(self, open_jobs: Mapping[str, str]) -> None:
        for job_id in [one for one in self._looks if one not in open_jobs]:
            del self._looks[job_id]
        for job_id in [one for one in self._left if one not in open_jobs]:
            del self._left[job_id]
        self._over.intersection_update(open_jobs)
        self._taken.intersection_update(open_jobs)
