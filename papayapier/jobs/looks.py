"""Look after the jobs of others, and let others take those that cannot be run here.

Who looks after a job, and what follows from an answer, is decided in policy/orphans.py; who is
offered a job, and who has it, in policy/handing.py.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

from papayapier import events
from papayapier.clock import Clock
from papayapier.jobs.owners import JobOwners
from papayapier.jobs.records import JobRecord
from papayapier.jobs.work import JobWork
from papayapier.policy.handing import OFFERED_MOST, HandedJobs, Offers
from papayapier.policy.orphans import Answered, OrphanWatch


class LookDeps(NamedTuple):
    """Group what the looks work with.

    open holds the records of the jobs that are not over, owned those that are run here. owners
    knows who owns them, has_room tells whether an item of an upstream could be started here.
    review is called when another instance is to run a job.
    """

    clock: Clock
    me: str
    open: Mapping[str, JobRecord]
    owned: Mapping[str, JobWork]
    over: Collection[str]
    owners: JobOwners
    has_room: Callable[[str], bool]
    review: Callable[[], None]


class JobLooks:
    """Own who runs which job in its owner's place."""

    def __init__(self, deps: LookDeps) -> None:
        self._deps = deps
        self._watch = OrphanWatch(deps.me)
        self._handed = HandedJobs()
        self._offers = Offers(deps.me)
        self._stopping = False

    def stop(self) -> None:
        """Look no more, and say that nothing is run here."""
        self._stopping = True

    def runs_here(self, job_id: str, owner_id: str) -> bool:
        """Tell whether this instance is to run a job, given its owner."""
        if owner_id == self._deps.me and self._handed.holder(job_id) is None:
            return True
        return self._watch.taken(job_id)

    def expire(self, live: Collection[str]) -> bool:
        """Take back the jobs of those that are not heard; return whether there were some."""
        return self._handed.expire(live, self._deps.clock.now())

    def forget(self, job_id: str) -> None:
        """Forget a job that is over."""
        self._handed.forget(job_id)

    def asks(self) -> dict[str, list[str]]:
        """Return which owners to ask now whether they run which jobs."""
        deps = self._deps
        if self._stopping or not deps.open:
            return {}
        self._give_back()
        owners = deps.owners
        if owners.refresh():
            deps.review()
        owned = {
            job_id: owners.owner(job_id, record)
            for job_id, record in deps.open.items()
            if owners.may_own(deps.me, record)
        }
        return self._watch.asks(
            owned, lambda job_id: owners.able(deps.open[job_id]), deps.clock.now()
        )

    def taken_of(self, job_ids: Sequence[str]) -> list[str]:
        """Return which of some jobs this instance runs in their owners' place."""
        return [job_id for job_id in job_ids if self._watch.taken(job_id)]

    def on_said(self, owner_id: str, asked: Sequence[str], answer: Answered | None) -> None:
        """Take what an owner says of jobs, None for nothing, and run those that nobody runs."""
        now = self._deps.clock.now()
        taken_before = self.taken_of(asked)
        if answer is None:
            taken = self._watch.on_silence(asked, now)
        else:
            taken = self._watch.on_answer(asked, answer, now)
        reason = "silent" if answer is None else "denied"
        for job_id in taken:
            events.emit(events.RUN_ADOPTED, job=job_id, owner=owner_id, reason=reason)
        if self.taken_of(asked) != taken_before:
            self._deps.review()

    def on_asked(self, peer_id: str, job_ids: Sequence[str], taken: Collection[str]) -> Answered:
        """Return what a peer that looks at jobs of this instance is told.

        taken are those that the peer runs; it may have what cannot be run on here.
        """
        changed = False
        for job_id in job_ids:
            if job_id not in taken:
                changed |= self._handed.on_given_back(job_id, peer_id)
            elif job_id not in self._deps.owned or self._stalled(job_id):
                changed |= self._hand_on(job_id, peer_id)
        if changed:
            self._deps.review()
        elsewhere = {one for one in job_ids if self._handed.holder(one) not in (None, peer_id)}
        here = set() if self._stopping else set(self._deps.owned).intersection(job_ids)
        over = frozenset(self._deps.over).intersection(job_ids)
        return Answered(frozenset(here | elsewhere), over)

    def offers(self) -> dict[str, list[str]]:
        """Return whom to offer which of the jobs that have stalled here."""
        deps = self._deps
        stalled = [one for one in deps.owned if not self._watch.taken(one) and self._stalled(one)]
        if self._stopping or not stalled:
            return {}
        alike: dict[Sequence[str], list[str]] = {}
        for job_id in stalled:
            alike.setdefault(tuple(deps.owners.able(deps.owned[job_id].record)), []).append(job_id)
        offered: dict[str, list[str]] = {}
        for able, job_ids in alike.items():
            for peer_id in self._offers.next(able):
                offered.setdefault(peer_id, []).extend(job_ids[:OFFERED_MOST])
        return offered

    def wanted_of(self, job_ids: Sequence[str]) -> str | None:
        """Return the first of some offered jobs that could be run here."""
        if self._stopping:
            return None
        return next((job_id for job_id in job_ids if self._can_start(job_id)), None)

    def on_claimed(self, owner_id: str, job_id: str, answer: Answered) -> None:
        """Take what an owner says to the claim of a job that it offered, and run what it leaves."""
        if job_id in answer.runs or job_id in answer.over or job_id not in self._deps.open:
            return
        events.emit(events.RUN_ADOPTED, job=job_id, owner=owner_id, reason="offered")
        self._watch.take(job_id, owner_id, self._deps.clock.now())
        self._deps.review()

    def _hand_on(self, job_id: str, peer_id: str) -> bool:
        """Leave a job to a peer; return whether it has it only from now on."""
        new = self._handed.holder(job_id) is None
        if new:
            events.emit(events.RUN_HANDED, job=job_id, keeper=peer_id)
        self._handed.on_taken(job_id, peer_id, self._deps.clock.now())
        return new

    def _give_back(self) -> None:
        """Leave to their owners the jobs that were taken and cannot be run here either."""
        stalled = [one for one in self.taken_of(list(self._deps.owned)) if self._stalled(one)]
        for job_id in stalled:
            self._watch.give_back(job_id, self._deps.clock.now())
        if stalled:
            self._deps.review()

    def _stalled(self, job_id: str) -> bool:
        return self._deps.owned[job_id].stalled(self._deps.clock.now())

    def _can_start(self, job_id: str) -> bool:
        record = self._deps.open.get(job_id)
        if record is None or job_id in self._deps.owned:
            return False
        return self._deps.has_room(self._deps.owners.upstream_of(record))
