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
from papayapier.orders.memory import Answered, Sight
from papayapier.orders.plan import Give, Look, Note, NoteKind, OrderLimits, OrderPlan
from papayapier.settings import OrderSettings
from papayapier.store.api import Store
from papayapier.upstream.api import Replica, Sent
from papayapier.upstream.orders import EngineControl, Order

TICK_BUSY_MS: Final = 250
TICK_IDLE_MS: Final = 2_000
LOOKS_AT_ONCE: Final = 32
RESTART_MS: Final = 1_000
MS_PER_MIN: Final = 60 * MS_PER_S
NOTES_KEPT: Final = 100

NOTE_EVENTS: Final = {
    NoteKind.GIVEN: events.ORDER_GIVEN,
    NoteKind.DONE: events.ORDER_DONE,
    NoteKind.FAILED: events.ORDER_FAILED,
    NoteKind.HELD: events.ORDER_HELD,
}


class ListedReplica(NamedTuple):
    """Describe a replica that is listed and not leaving; serving: it receives requests."""

    replica: Replica
    serving: bool


class OrdersDeps(NamedTuple):
    """Group the dependencies of the order controller.

    wanted returns the wanted state of all upstreams, replicas the listed replicas that are not
    leaving, instances the ids of the live entry instances. need returns how many serving replicas
    an upstream's current load requires; the configured minimum applies in addition.
    """

    clock: Clock
    rand: random.Random
    store: Store
    cfg: OrderSettings
    instance: str
    orders: EngineControl
    wanted: Callable[[], Sequence[UpstreamWanted]]
    replicas: Callable[[], Sequence[ListedReplica]]
    instances: Callable[[], Sequence[str]]
    need: Callable[[str], int]


class UnderwayLine(NamedTuple):
    """Describe one order in progress, as shown to operators."""

    replica: str
    kind: str
    name: str


class NoteLine(NamedTuple):
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
    underway: list[UnderwayLine]
    lately: list[NoteLine]


class OrderControl(NamedTuple):
    """Group the functions of the order controller of one instance."""

    show: Callable[[], OrdersView]
    stop: Callable[[], Awaitable[None]]


def start_orders(deps: OrdersDeps) -> OrderControl:
    """Start to compete for the controller's lease, and to send orders while holding it."""
    controller = Controller(deps)
    controller.start()
    return OrderControl(controller.show, controller.stop)


class Controller:
    """Run the steps that the plan decides on while the lease is held."""

    def __init__(self, deps: OrdersDeps) -> None:
        self._deps = deps
        load_gap_ms = MS_PER_MIN // deps.cfg.loads_per_min
        limits = OrderLimits(deps.cfg.lease_ms, load_gap_ms, deps.cfg.loads_at_once)
        self._plan = OrderPlan(limits, deps.need)
        self._wanted: list[UpstreamWanted] = []
        self._replicas: dict[str, Replica] = {}
        self._looks = DeferredSemaphore(LOOKS_AT_ONCE)
        self._lately: list[NoteLine] = []
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
                lambda clean: self._plan.begin(deps.clock.now(), clean),
            )
        )

    def start(self) -> None:
        """Start the tasks that renew the lease and run the plan's steps."""
        self._loop(self._keep_lease)
        self._loop(self._take_steps)

    async def stop(self) -> None:
        """Stop sending orders and release the lease."""
        self._stopped = True
        for task in list(self._tasks):
            task.cancel()
        await self._lease.release(clean=not self._plan.underway())

    def show(self) -> OrdersView:
        """Return the state that is shown to operators."""
        if not self._lease.held():
            return OrdersView(self._lease.holder, [], [])
        underway = [
            UnderwayLine(id, item.kind.value, item.name)
            for id, item in sorted(self._plan.underway().items())
        ]
        return OrdersView(self._deps.instance, underway, list(self._lately))

    async def _keep_lease(self) -> None:
        while True:
            # Without any wanted state no orders are needed, so the lease is not acquired.
            if self._deps.wanted() or self._lease.held():
                await self._lease.keep()
            pause_ms = self._deps.cfg.renew_ms * self._deps.rand.uniform(0.8, 1.0)
            await self._deps.clock.sleep(pause_ms)

    async def _take_steps(self) -> None:
        while True:
            if self._lease.may_act():
                self._step()
            busy = self._lease.held() and self._plan.busy()
            await self._deps.clock.sleep(TICK_BUSY_MS if busy else TICK_IDLE_MS)

    def _step(self) -> None:
        self._take_inputs()
        for step in self._plan.steps(self._lease.fence(), self._deps.clock.now()):
            replica = self._replicas[step.replica_id]
            match step:
                case Give(_, order):
                    self._run(self._give(replica, order))
                case Look():
                    self._run(self._look(replica))
        for note in self._plan.notes():
            self._tell(note)

    def _take_inputs(self) -> None:
        wanted = list(self._deps.wanted())
        if wanted != self._wanted:
            self._wanted = wanted
            self._plan.set_wanted(wanted)
        listed = self._deps.replicas()
        self._replicas = {one.replica.id: one.replica for one in listed}
        self._plan.set_replicas(
            Sight(one.replica.id, one.replica.upstream, one.serving) for one in listed
        )

    async def _give(self, replica: Replica, order: Order) -> None:
        answer = Answered.NOT_SENT
        if self._lease.may_act():
            answer = await self._send(replica, order)
        self._plan.answered(replica.id, order.order_id, answer, self._deps.clock.now())

    async def _send(self, replica: Replica, order: Order) -> Answered:
        match await self._deps.orders.send_order(replica, order):
            case Ok(answer) if answer.accepted:
                return Answered.ACCEPTED
            case Ok(answer):
                events.emit(
                    events.ORDER_FENCED, replica=replica.id, ours=order.fence, seen=answer.fence
                )
                return Answered.REFUSED
            case Err(failure) if failure.sent is Sent.NO:
                return Answered.NOT_SENT
            case _:
                return Answered.LOST

    async def _look(self, replica: Replica) -> None:
        await self._looks.acquire()
        try:
            asked_ms = self._deps.clock.now()
            read = await self._deps.orders.read_state(replica)
        finally:
            self._looks.release()
        if isinstance(read, Ok):
            self._plan.seen(replica.id, read.ok_value, asked_ms, self._deps.clock.now())

    def _tell(self, note: Note) -> None:
        kind, name = note.item.kind.value, note.item.name
        events.emit(
            NOTE_EVENTS[note.kind],
            replica=note.replica_id,
            order=kind,
            name=name,
            reason=note.reason,
        )
        at_ms = self._deps.clock.wall()
        line = NoteLine(at_ms, note.replica_id, kind, name, note.kind.value, note.reason)
        self._lately = [line, *self._lately][:NOTES_KEPT]

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        self._follow(Deferred.fromCoroutine(work))

    def _loop(self, make: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a task and restart it whenever it ends, or orders would no longer be sent."""

        def again() -> None:
            if not self._stopped:
                self._deps.clock.call_later(RESTART_MS, restart)

        def restart() -> None:
            if not self._stopped:
                self._loop(make)

        self._follow(Deferred.fromCoroutine(make())).addCallback(lambda _: again())

    def _follow(self, task: "Deferred[None]") -> "Deferred[None]":
        self._tasks.add(task)
        task.addErrback(_report)
        task.addBoth(lambda _: self._tasks.discard(task))
        return task


def _report(failure: Failure) -> None:
    if not isinstance(failure.value, CancelledError):
        events.emit(events.ORDERS_TASK_FAILED, error=failure.getTraceback())
