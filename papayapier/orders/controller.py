"""Send the orders that the plan decides on, while this instance holds the controller's lease.

The lease is checked again immediately before each order is sent, because the process may have
been paused for longer than the lease after the decision.
"""

import random
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any, Final, NamedTuple

from result import Err, Ok
from twisted.internet.defer import CancelledError, Deferred, DeferredSemaphore
from twisted.python.failure import Failure

from papayapier import events
from papayapier.clock import MS_PER_S, Clock
from papayapier.config.upstreams import UpstreamWanted
from papayapier.orders.lease import ControllerLease, LeaseDeps
from papayapier.orders.plan import (
    OrderEvent,
    OrderEventKind,
    OrderLimits,
    OrderPlan,
    ReadState,
    SendOrder,
)
from papayapier.orders.replica_tracker import AnswerOutcome, ReplicaInfo
from papayapier.settings import OrderSettings
from papayapier.store.api import Store
from papayapier.upstream.api import Replica, Sent
from papayapier.upstream.engine_control import EngineControl, Order

TICK_BUSY_MS: Final = 250
TICK_IDLE_MS: Final = 2_000
MAX_CONCURRENT_READS: Final = 32
RESTART_DELAY_MS: Final = 1_000
MS_PER_MIN: Final = 60 * MS_PER_S
MAX_RECENT_EVENTS: Final = 100

LOG_EVENTS: Final = {
    OrderEventKind.GIVEN: events.ORDER_GIVEN,
    OrderEventKind.DONE: events.ORDER_DONE,
    OrderEventKind.FAILED: events.ORDER_FAILED,
    OrderEventKind.HELD: events.ORDER_HELD,
}


class ListedReplica(NamedTuple):
    """Describe a replica that is listed and not leaving; serving: it receives requests."""

    replica: Replica
    serving: bool


class OrderControllerDeps(NamedTuple):
    """Group the dependencies of the order controller.

    wanted_upstreams returns the wanted state of all upstreams, replicas the listed replicas that
    are not leaving, instances the ids of the live entry instances. required_serving returns how
    many serving replicas an upstream's current load requires; the configured minimum applies in
    addition.
    """

    clock: Clock
    rand: random.Random
    store: Store
    cfg: OrderSettings
    instance: str
    engine_control: EngineControl
    wanted_upstreams: Callable[[], Sequence[UpstreamWanted]]
    replicas: Callable[[], Sequence[ListedReplica]]
    instances: Callable[[], Sequence[str]]
    required_serving: Callable[[str], int]


class OrderInProgress(NamedTuple):
    """Describe one order in progress, as shown to operators."""

    replica: str
    kind: str
    name: str


class RecentOrderEvent(NamedTuple):
    """Describe a recent event of an order, as shown to operators."""

    at_ms: int
    replica: str
    kind: str
    name: str
    end: str
    reason: str


class OrdersView(NamedTuple):
    """Describe the orders known to this instance; only the controller knows any."""

    controller: str
    underway: list[OrderInProgress]
    lately: list[RecentOrderEvent]


class OrderController(NamedTuple):
    """Group the functions of the order controller of one instance."""

    show: Callable[[], OrdersView]
    stop: Callable[[], Awaitable[None]]


def start_order_controller(deps: OrderControllerDeps) -> OrderController:
    """Start to compete for the controller's lease, and to send orders while holding it."""
    controller = Controller(deps)
    controller.start()
    return OrderController(controller.show, controller.stop)


class Controller:
    """Run the steps that the plan decides on while the lease is held."""

    def __init__(self, deps: OrderControllerDeps) -> None:
        self._deps = deps
        load_gap_ms = MS_PER_MIN // deps.cfg.loads_per_min
        limits = OrderLimits(deps.cfg.lease_ms, load_gap_ms, deps.cfg.loads_at_once)
        self._plan = OrderPlan(limits, deps.required_serving)
        self._wanted: list[UpstreamWanted] = []
        self._replicas: dict[str, Replica] = {}
        self._read_slots = DeferredSemaphore(MAX_CONCURRENT_READS)
        self._recent: list[RecentOrderEvent] = []
        self._tasks: set[Deferred[None]] = set()
        self._stopped = False
        self._lease = ControllerLease(
            LeaseDeps(
                deps.clock,
                deps.rand,
                deps.store,
                deps.cfg,
                deps.instance,
                deps.instances,
                lambda clean: self._plan.start(deps.clock.now(), clean),
            )
        )

    def start(self) -> None:
        """Start the tasks that renew the lease and run the plan's steps."""
        self._run_forever(self._maintain_lease)
        self._run_forever(self._take_steps)

    async def stop(self) -> None:
        """Stop sending orders and release the lease."""
        self._stopped = True
        for task in list(self._tasks):
            task.cancel()
        await self._lease.release(clean=not self._plan.items_in_progress())

    def show(self) -> OrdersView:
        """Return the state that is shown to operators."""
        if not self._lease.is_held():
            return OrdersView(self._lease.holder, [], [])
        underway = [
            OrderInProgress(id, item.kind.value, item.name)
            for id, item in sorted(self._plan.items_in_progress().items())
        ]
        return OrdersView(self._deps.instance, underway, list(self._recent))

    async def _maintain_lease(self) -> None:
        while True:
            # Without any wanted state no orders are needed, so the lease is not acquired.
            if self._deps.wanted_upstreams() or self._lease.is_held():
                await self._lease.renew_or_acquire()
            pause_ms = self._deps.cfg.renew_ms * self._deps.rand.uniform(0.8, 1.0)
            await self._deps.clock.sleep(pause_ms)

    async def _take_steps(self) -> None:
        while True:
            if self._lease.may_act():
                self._step()
            busy = self._lease.is_held() and self._plan.busy()
            await self._deps.clock.sleep(TICK_BUSY_MS if busy else TICK_IDLE_MS)

    def _step(self) -> None:
        self._update_inputs()
        for step in self._plan.steps(self._lease.fence(), self._deps.clock.now()):
            replica = self._replicas[step.replica_id]
            match step:
                case SendOrder(_, order):
                    self._spawn(self._send_order(replica, order))
                case ReadState():
                    self._spawn(self._read_state(replica))
        for event in self._plan.take_events():
            self._report_event(event)

    def _update_inputs(self) -> None:
        wanted = list(self._deps.wanted_upstreams())
        if wanted != self._wanted:
            self._wanted = wanted
            self._plan.set_wanted(wanted)
        replicas = self._deps.replicas()
        self._replicas = {
            listed_replica.replica.id: listed_replica.replica for listed_replica in replicas
        }
        self._plan.set_replicas(
            ReplicaInfo(
                listed_replica.replica.id, listed_replica.replica.upstream, listed_replica.serving
            )
            for listed_replica in replicas
        )

    async def _send_order(self, replica: Replica, order: Order) -> None:
        answer = AnswerOutcome.NOT_SENT
        if self._lease.may_act():
            answer = await self._send(replica, order)
        self._plan.on_answer(replica.id, order.order_id, answer, self._deps.clock.now())

    async def _send(self, replica: Replica, order: Order) -> AnswerOutcome:
        match await self._deps.engine_control.send_order(replica, order):
            case Ok(answer) if answer.accepted:
                return AnswerOutcome.ACCEPTED
            case Ok(answer):
                events.emit(
                    events.ORDER_FENCED, replica=replica.id, ours=order.fence, seen=answer.fence
                )
                return AnswerOutcome.REFUSED
            case Err(failure) if failure.sent is Sent.NO:
                return AnswerOutcome.NOT_SENT
            case _:
                return AnswerOutcome.LOST

    async def _read_state(self, replica: Replica) -> None:
        await self._read_slots.acquire()
        try:
            requested_ms = self._deps.clock.now()
            read = await self._deps.engine_control.read_state(replica)
        finally:
            self._read_slots.release()
        if isinstance(read, Ok):
            self._plan.on_state(replica.id, read.ok_value, requested_ms, self._deps.clock.now())

    def _report_event(self, event: OrderEvent) -> None:
        kind, name = event.item.kind.value, event.item.name
        events.emit(
            LOG_EVENTS[event.kind],
            replica=event.replica_id,
            order=kind,
            name=name,
            reason=event.reason,
        )
        at_ms = self._deps.clock.wall()
        line = RecentOrderEvent(at_ms, event.replica_id, kind, name, event.kind.value, event.reason)
        self._recent = [line, *self._recent][:MAX_RECENT_EVENTS]

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._track(Deferred.fromCoroutine(coroutine))

    def _run_forever(self, make_task: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a task and restart it whenever it ends, or orders would no longer be sent."""

        def schedule_restart() -> None:
            if not self._stopped:
                self._deps.clock.call_later(RESTART_DELAY_MS, restart)

        def restart() -> None:
            if not self._stopped:
                self._run_forever(make_task)

        self._track(Deferred.fromCoroutine(make_task())).addCallback(lambda _: schedule_restart())

    def _track(self, task: "Deferred[None]") -> "Deferred[None]":
        self._tasks.add(task)
        task.addErrback(_log_failure)
        task.addBoth(lambda _: self._tasks.discard(task))
        return task


def _log_failure(failure: Failure) -> None:
    if not isinstance(failure.value, CancelledError):
        events.emit(events.ORDERS_TASK_FAILED, error=failure.getTraceback())
