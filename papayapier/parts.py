"""Name the parts of one instance in the groups in which they are wired."""

import random
from typing import Any, NamedTuple

from papayapier.batch.start import Batch
from papayapier.claims.service import Claims
from papayapier.clock import Clock
from papayapier.config.start import Config
from papayapier.dispatch.crash_watch import CrashWatch
from papayapier.dispatch.lanes import BatchLanes
from papayapier.dispatch.online import OnlineDispatch
from papayapier.fleet_view import FleetView, Policies
from papayapier.metrics import Metrics
from papayapier.orders.controller import OrderControl
from papayapier.peer.hub import PeerHub
from papayapier.peer.loss_news import LossNews
from papayapier.policy.drain import Drain
from papayapier.settings import Settings
from papayapier.store.api import Store
from papayapier.store.budget import Budget
from papayapier.upstream.api import Upstreams
from papayapier.upstream.reports import Reports


class Base(NamedTuple):
    """Hold what every other part needs; boot names this run of the instance."""

    reactor: Any
    clock: Clock
    rand: random.Random
    cfg: Settings
    metrics: Metrics
    store: Store
    budget: Budget
    drain: Drain
    boot: int


class Fleet(NamedTuple):
    """Hold what is known of replicas and how they are reached."""

    policies: Policies
    view: FleetView
    crashes: CrashWatch
    upstreams: Upstreams
    reports: Reports


class Work(NamedTuple):
    """Hold the parts that do the work and talk with peers about it."""

    hub: PeerHub
    loss_news: LossNews
    config: Config
    online: OnlineDispatch
    lanes: BatchLanes
    batch: Batch
    claims: Claims
    orders: OrderControl
