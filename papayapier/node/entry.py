"""Wire an entry: it forwards callers' requests and serves their calls on batch jobs."""

import random
from collections.abc import Collection, Sequence
from functools import partial
from typing import Any, Final

from result import Err, Ok, Result

from papayapier import events
from papayapier.clock import Clock
from papayapier.config.route_table import RouteTable
from papayapier.dispatch.forward_state import ForwardDeps
from papayapier.dispatch.start_queue import StartQueue
from papayapier.entry.forward_refusals import RefusalDeps, refuse_forwarded
from papayapier.entry.forward_routes import (
    ForwardResource,
    ForwardRouteDeps,
    HeaderNames,
    JobHandlers,
)
from papayapier.entry.job_routes import JobCallFormat, JobRoutes
from papayapier.entry.unread_watch import UnreadWatch
from papayapier.errors import ErrorKind, Refusal, not_run_refusal
from papayapier.graceful_shutdown import GracefulShutdown, ShutdownDeps
from papayapier.jobs.job_service import JobService, JobServiceDeps
from papayapier.jobs.notifications import ReceivedNotifications
from papayapier.jobs.owners import eligible_instances
from papayapier.jobs.records import JobRecord
from papayapier.listen import (
    MAX_BODY_BYTES,
    ListeningPort,
    listen_on_socket,
    listen_resource,
    make_body_limit,
)
from papayapier.node.allowances import AllowanceDeps, make_allow
from papayapier.node.base import Followed, NodeBase, close_base, follow_common, make_base
from papayapier.node.caller_socket import CallerSocket
from papayapier.node.health import HealthResource
from papayapier.node.job_copies import JobCopiesDeps, replicate
from papayapier.node.job_reading import make_job_reader
from papayapier.node.placement import make_place, make_report_unanswered, queues_at_hub
from papayapier.node.processes import Role
from papayapier.node.settings import NodeSettings, split_address
from papayapier.peer.messages import Heartbeat, JobChanged
from papayapier.platform import headers, job_calls
from papayapier.policy.admission import AdmissionQueue
from papayapier.policy.buffered_bytes import BufferedBytes
from papayapier.policy.first_byte import FirstByteTimes
from papayapier.policy.retries import RetryBudget
from papayapier.sources import sources_id
from papayapier.store.budget import Priority

LEAVING_RETRY_MS: Final = 250
DEFAULT_BODY_BYTES: Final = 4_194_304
# Configuration and replicas arrive about 30 ms after a start, if the store answers.
MAX_STARTUP_WAIT_MS: Final = 1_000
POLL_MS: Final = 10
# After a loss of all machines the hubs agree within this time on which instances are live.
STARTING_MS: Final = 2_500
# Keepers write stored jobs back every half second at most, one call each, and start in about half
# a second.
LOCAL_JOBS_WRITTEN_MS: Final = 2_000


class Entry:
    """Hold a running entry."""

    def __init__(
        self,
        base: NodeBase,
        followed: Followed,
        queue: StartQueue,
        listening: tuple[ListeningPort, ...],
        unread: UnreadWatch,
    ) -> None:
        self._base = base
        self._queue = queue
        self._unread = unread
        self._stop = GracefulShutdown(
            ShutdownDeps(
                base.clock,
                base.drain,
                listening,
                queue.unfinished_count,
                lambda: 0,
                _nothing_to_hand_over,
            )
        )

    async def shut_down(self) -> None:
        """Stop gracefully."""
        await self._stop.run()
        self._queue.close()
        self._unread.close()
        await close_base(self._base)


async def _nothing_to_hand_over() -> None:
    return None


class _Readiness:
    """Decide whether the load balancer may send callers to this process."""

    def __init__(self, base: NodeBase, followed: Followed) -> None:
        self._base = base
        self._followed = followed
        self._was_ready = False
        self._began_ms = base.clock.now()

    def not_ready_reason(self) -> str:
        reason = self._reason()
        if self._was_ready != (not reason):
            self._was_ready = not reason
            events.emit(events.NOT_READY if reason else events.READY, reason=reason)
        return reason

    def _reason(self) -> str:
        if self._base.drain.state() != "serving":
            return "the process is leaving"
        if self._base.routing.table() is None:
            return "no configuration is known yet"
        if not self._base.replicas.listed():
            return "no replica is known yet"
        return ""

    async def wait_until_routable(self, until_ms: int) -> None:
        """Wait, only just after the start, until requests can be routed or until a time.

        Connections that were accepted during the imports deliver requests immediately; refusing
        them would cost their callers a retry. If each entry placed the backlog by itself, the
        backlog of the whole fleet would fill the replicas' own queues. If requests were sent before
        peers have reported replica losses, a request that crashes replicas would crash three more
        with each start.
        """
        clock = self._base.clock
        until_ms = min(until_ms, self._began_ms + MAX_STARTUP_WAIT_MS)
        while clock.now() < until_ms:
            if not self._reason() and self._placer_known() and self._losses_known():
                return
            await clock.sleep(POLL_MS)

    def _losses_known(self) -> bool:
        """Return whether earlier replica losses are known, or no other process can know of any."""
        processes = self._base.nodes.count()
        return processes == 1 or (bool(processes) and self._base.loss_exchange.has_known_losses())

    def _placer_known(self) -> bool:
        """Return whether a hub is known that places calls, or each instance places its own."""
        if not self._base.placement_deps.queue:
            return True
        processes = self._base.nodes.count()
        return bool(processes) and (
            processes <= self._base.cfg.peer.full_mesh or bool(self._base.placement_deps.hubs())
        )

    def current_refusal(self) -> Refusal | None:
        """Return the refusal that new requests get, if any."""
        if self._base.drain.accepts():
            return None
        return not_run_refusal(ErrorKind.LEAVING, "the process is shutting down", LEAVING_RETRY_MS)


async def start_entry(
    reactor: Any,
    clock: Clock,
    cfg: NodeSettings,
    rand: random.Random,
    callers_socket: CallerSocket | None = None,
) -> Result[Entry, str]:
    """Start an entry, or return the reason why it cannot start.

    callers_socket is the socket for callers if it is already open.
    """
    if cfg.listen is None:
        return Err("listen: an entry needs the addresses for callers and readiness")
    made = make_base(reactor, clock, cfg, rand, Role.ENTRY)
    if isinstance(made, Err):
        return made
    base = made.ok_value
    followed = follow_common(base, Role.ENTRY)
    readiness = _Readiness(base, followed)
    forward = _forward_deps(base)
    queue = StartQueue(forward, queued_at_peer=partial(queues_at_hub, base.placement_deps))
    routes = _routes(base, forward, queue, readiness)
    health = HealthResource(readiness.not_ready_reason, base.metrics)
    callers_address = split_address(cfg.listen.callers)
    readiness_address = split_address(cfg.listen.readiness)
    resource = ForwardResource(routes)
    callers_listening: Result[ListeningPort, str]
    if callers_socket is not None:
        callers_listening = Ok(
            listen_on_socket(reactor, resource, callers_socket, _body_limit(base))
        )
    else:
        callers_listening = listen_resource(
            reactor, resource, "listen.callers", *callers_address, _body_limit(base)
        )
    max_body_bytes = make_body_limit(MAX_BODY_BYTES)
    readiness_listening = listen_resource(
        reactor, health, "listen.readiness", *readiness_address, max_body_bytes
    )
    for listening_result in (callers_listening, readiness_listening):
        if isinstance(listening_result, Err):
            await close_base(base)
            return listening_result
    listening = (callers_listening.unwrap(), readiness_listening.unwrap())
    # Routes read a whole body into memory in any case, and the machines have no disk.
    listening[0].site.bodies_in_memory = True
    base.routing.watch(lambda table: _apply_caller_limits(listening[0], table))
    held_bytes = BufferedBytes(cfg.memory.held_bytes())
    unread = UnreadWatch(clock, listening[0].site, held_bytes, base.metrics)
    unread.start()
    events.emit(
        events.PROCESS_STARTED,
        instance=cfg.instance.id,
        role=Role.ENTRY.value,
        sources=sources_id(),
    )
    return Ok(Entry(base, followed, queue, listening, unread))


def _forward_deps(base: NodeBase) -> ForwardDeps:
    return ForwardDeps(
        clock=base.clock,
        rand=base.rand,
        data_centre=base.cfg.instance.data_centre,
        load_tracker=base.load_tracker,
        outliers=base.outliers,
        crashes=base.crashes,
        queue=AdmissionQueue(base.cfg.max_queued),
        budget=RetryBudget(),
        first_bytes=FirstByteTimes(),
        send=base.send,
        make_headers=headers.with_replica,
        metrics=base.metrics,
        on_uses_changed=base.hub.on_uses_changed,
        place=make_place(base.placement_deps),
        on_unanswered=make_report_unanswered(base.placement_deps),
        peer_loads_are_fresh=lambda: base.hub.plan().full_mesh,
        on_stream_begun=base.stream_versions.on_begun,
        find_stream_origin=base.stream_versions.resolve,
    )


def _routes(
    base: NodeBase, forward: ForwardDeps, queue: StartQueue, readiness: _Readiness
) -> ForwardRouteDeps:
    notifications = ReceivedNotifications(lambda: base.nodes.with_role(Role.KEEPER), base.hub.live)

    def keepers() -> frozenset[str]:
        return base.nodes.with_role(Role.KEEPER) & frozenset(base.hub.live())

    def able_keepers(record: JobRecord, running: Sequence[str]) -> Collection[str]:
        return eligible_instances(base.load_tracker, base.routing.table(), running, record)

    copies_deps = JobCopiesDeps(base.hub, keepers, base.cfg.jobs.copies(), able_keepers)
    job_service = JobService(
        JobServiceDeps(
            base.clock,
            base.rand,
            base.view(Priority.CLAIM),
            notifications,
            replicate=partial(replicate, copies_deps),
            is_store_unavailable=lambda: base.budget.down_since() is not None,
            is_store_complete=partial(_local_jobs_written, base, base.clock.now()),
            read_remote=make_job_reader(base.hub, base.clock, keepers),
            config_position=base.routing.position,
            bound=base.value_bound,
        )
    )

    def on_job_changed(peer_id: str, message: JobChanged) -> None:
        notifications.on_notification(peer_id, message.number)
        job_service.on_group_count(message.job_id, message.version)

    def on_heartbeat(peer_id: str, heartbeat: Heartbeat) -> None:
        notifications.on_heartbeat(peer_id, heartbeat, base.clock.now())
        for notification in heartbeat.notifications:
            job_service.on_group_count(notification.job_id, notification.groups)

    base.hub.subscribe(JobChanged, on_job_changed)
    base.hub.subscribe(Heartbeat, on_heartbeat)
    wire = JobCallFormat(
        headers.REQUEST_ID.decode(), job_calls.read_items, job_calls.parse_call, job_calls.perform
    )
    request_id = headers.REQUEST_ID.decode()
    refusals = RefusalDeps(base.clock, base.rand, base.metrics, request_id, headers.RETRY_AFTER)
    jobs = JobRoutes(
        base.clock,
        job_service,
        wire,
        partial(refuse_forwarded, refusals),
    )
    return ForwardRouteDeps(
        clock=base.clock,
        rand=base.rand,
        metrics=base.metrics,
        refusals=refusals,
        names=HeaderNames(
            request_id=request_id,
            time_left=headers.TIME_LEFT.decode(),
            prompt=headers.PROMPT_PARTS.decode(),
            last_event=headers.LAST_EVENT.decode(),
            resumed_attempt=headers.RESUMED_ATTEMPT.decode(),
            shared_parts=headers.shared_parts,
            end_to_end=headers.end_to_end,
            presented_keys=headers.presented_keys,
            with_team=headers.with_team,
        ),
        table=base.routing.table,
        get_refusal=readiness.current_refusal,
        starting_until_ms=base.clock.now() + STARTING_MS,
        wait_until_routable=readiness.wait_until_routable,
        queue=queue,
        forward=forward,
        allow=make_allow(
            AllowanceDeps(
                base.hub,
                base.clock,
                lambda: base.nodes.with_role(Role.KEEPER) & base.hub.agreed_live(),
            )
        ),
        jobs=JobHandlers(jobs.submit, job_calls.parse_call, jobs.perform),
    )


def _local_jobs_written(base: NodeBase, began_ms: int) -> bool:
    """Return whether keepers have had time to write locally stored jobs to the store.

    A process that has just started does not know whether the store was unreachable before, so its
    own start counts like a return of the store.
    """
    recovered_ms = base.outage_tracker.last_return_ms()
    return (
        recovered_ms is not None
        and base.clock.now() >= max(recovered_ms, began_ms) + LOCAL_JOBS_WRITTEN_MS
    )


def _body_limit(base: NodeBase) -> Any:
    def limit(_path: bytes) -> int:
        table = base.routing.table()
        return table.cfg.limits.body_bytes if table is not None else DEFAULT_BODY_BYTES

    return limit


def _apply_caller_limits(listening: ListeningPort, table: RouteTable) -> None:
    """Apply the configured limits on callers' headers and idle connections."""
    limits = table.cfg.limits
    listening.site.set_limits(limits.idle_ms, limits.header_bytes, limits.header_ms)
