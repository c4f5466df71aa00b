"""Take over jobs whose owners do not run them, and hand over jobs that cannot be run here.

policy/orphans.py decides which instance checks a job and what follows from the owner's reply.
policy/handover.py decides to which instances a job is offered and which of them runs it.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

from papayapier import events
from papayapier.clock import Clock
from papayapier.jobs.owned_job import OwnedJob
from papayapier.jobs.owners import JobOwners
from papayapier.jobs.records import JobRecord
from papayapier.policy.handover import MAX_OFFERED_JOBS, HandoverTracker, OfferRotation
from papayapier.policy.orphans import OrphanDetector, RunsReply


class TakeoverDeps(NamedTuple):
    """Group the dependencies of JobTakeover.

    open holds the records of jobs that are not closed, owned the jobs that run here and closed the
    ids of closed jobs. owners computes the owner of a job. has_free_slot returns whether an item of
    an upstream could be started here. on_change is called when the instance that is to run a job
    has changed.
    """

    clock: Clock
    instance_id: str
    open: Mapping[str, JobRecord]
    owned: Mapping[str, OwnedJob]
    closed: Collection[str]
    owners: JobOwners
    has_free_slot: Callable[[str], bool]
    on_change: Callable[[], None]


class JobTakeover:
    """Track the jobs that run on an instance other than their owner."""

    def __init__(self, deps: TakeoverDeps) -> None:
        self._deps = deps
        self._orphans = OrphanDetector(deps.instance_id)
        self._handovers = HandoverTracker()
        self._offers = OfferRotation(deps.instance_id)
        self._stopping = False

    def stop(self) -> None:
        """Stop checking jobs, and report from now on that no job runs here."""
        self._stopping = True

    def runs_here(self, job_id: str, owner_id: str) -> bool:
        """Return whether this instance is to run a job, given its owner."""
        if owner_id == self._deps.instance_id and self._handovers.holder(job_id) is None:
            return True
        return self._orphans.is_taken_over(job_id)

    def expire(self, live: Collection[str]) -> bool:
        """Take back jobs handed over to instances that are not live; return whether any were."""
        return self._handovers.expire(live, self._deps.clock.now())

    def forget(self, job_id: str) -> None:
        """Drop the state of a closed job."""
        self._handovers.forget(job_id)

    def due_checks(self) -> dict[str, list[str]]:
        """Return which jobs to check now, by the owner to which the request goes."""
        deps = self._deps
        if self._stopping or not deps.open:
            return {}
        self._give_back()
        owners = deps.owners
        if owners.refresh():
            deps.on_change()
        owned = {
            job_id: owners.owner(job_id, record)
            for job_id, record in deps.open.items()
            if owners.may_own(deps.instance_id, record)
        }
        return self._orphans.due_checks(
            owned, lambda job_id: owners.eligible(deps.open[job_id]), deps.clock.now()
        )

    def taken_over(self, job_ids: Sequence[str]) -> list[str]:
        """Return which of the given jobs this instance runs in place of their owners."""
        return [job_id for job_id in job_ids if self._orphans.is_taken_over(job_id)]

    def on_check_reply(
        self, owner_id: str, requested: Sequence[str], reply: RunsReply | None
    ) -> None:
        """Handle an owner's reply about its jobs, or None for no reply; take over orphaned jobs."""
        now = self._deps.clock.now()
        taken_before = self.taken_over(requested)
        if reply is None:
            taken = self._orphans.on_no_reply(requested, now)
        else:
            taken = self._orphans.on_reply(requested, reply, now)
        reason = "silent" if reply is None else "denied"
        for job_id in taken:
            events.emit(events.RUN_ADOPTED, job=job_id, owner=owner_id, reason=reason)
        if self.taken_over(requested) != taken_before:
            self._deps.on_change()

    def on_check_request(
        self, peer_id: str, job_ids: Sequence[str], taken: Collection[str]
    ) -> RunsReply:
        """Return the reply to a peer that checks jobs of this instance.

        taken are the jobs that the peer runs. It keeps those that are not running here or have
        stalled here.
        """
        changed = False
        for job_id in job_ids:
            if job_id not in taken:
                changed |= self._handovers.on_returned(job_id, peer_id)
            elif job_id not in self._deps.owned or self._is_stalled(job_id):
                changed |= self._hand_over(job_id, peer_id)
        if changed:
            self._deps.on_change()
        elsewhere = {key for key in job_ids if self._handovers.holder(key) not in (None, peer_id)}
        here = set() if self._stopping else set(self._deps.owned).intersection(job_ids)
        closed = frozenset(self._deps.closed).intersection(job_ids)
        return RunsReply(frozenset(here | elsewhere), closed)

    def due_offers(self) -> dict[str, list[str]]:
        """Return which stalled jobs to offer now, by the peer to which the offer goes."""
        deps = self._deps
        stalled = [
            key
            for key in deps.owned
            if not self._orphans.is_taken_over(key) and self._is_stalled(key)
        ]
        if self._stopping or not stalled:
            return {}
        by_eligible: dict[Sequence[str], list[str]] = {}
        for job_id in stalled:
            by_eligible.setdefault(
                tuple(deps.owners.eligible(deps.owned[job_id].record)), []
            ).append(job_id)
        offered: dict[str, list[str]] = {}
        for eligible, job_ids in by_eligible.items():
            for peer_id in self._offers.next_peers(eligible):
                offered.setdefault(peer_id, []).extend(job_ids[:MAX_OFFERED_JOBS])
        return offered

    def choose_offered(self, job_ids: Sequence[str]) -> str | None:
        """Return the first of the offered jobs that could be started here."""
        if self._stopping:
            return None
        return next((job_id for job_id in job_ids if self._can_start(job_id)), None)

    def on_claim_reply(self, owner_id: str, job_id: str, reply: RunsReply) -> None:
        """Handle an owner's reply to the claim of an offered job; run the job if it is free."""
        if job_id in reply.runs or job_id in reply.finished or job_id not in self._deps.open:
            return
        events.emit(events.RUN_ADOPTED, job=job_id, owner=owner_id, reason="offered")
        self._orphans.take_over(job_id, owner_id, self._deps.clock.now())
        self._deps.on_change()

    def _hand_over(self, job_id: str, peer_id: str) -> bool:
        """Hand a job over to a peer; return whether no peer had it before."""
        is_new = self._handovers.holder(job_id) is None
        if is_new:
            events.emit(events.RUN_HANDED, job=job_id, keeper=peer_id)
        self._handovers.on_peer_runs(job_id, peer_id, self._deps.clock.now())
        return is_new

    def _give_back(self) -> None:
        """Return to their owners the jobs that were taken over and have stalled here too."""
        stalled = [key for key in self.taken_over(list(self._deps.owned)) if self._is_stalled(key)]
        for job_id in stalled:
            self._orphans.hand_back(job_id, self._deps.clock.now())
        if stalled:
            self._deps.on_change()

    def _is_stalled(self, job_id: str) -> bool:
        return self._deps.owned[job_id].is_stalled(self._deps.clock.now())

    def _can_start(self, job_id: str) -> bool:
        record = self._deps.open.get(job_id)
        if record is None or job_id in self._deps.owned:
            return False
        return self._deps.has_free_slot(self._deps.owners.upstream_of(record))
