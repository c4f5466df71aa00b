"""Define the records that group the components of an instance while compose wires them."""

import random
from typing import Any, NamedTuple

from papayapier.batch.start import Batch
from papayapier.claims.service import Claims
from papayapier.clock import Clock
from papayapier.config.start import ConfigService
from papayapier.dispatch.crash_watch import CrashWatch
from papayapier.dispatch.item_dispatch import ItemDispatch
from papayapier.dispatch.online import OnlineDispatch
from papayapier.fleet_view import FleetView, ReplicaPolicies
from papayapier.metrics import Metrics
from papayapier.orders.controller import OrderController
from papayapier.peer.hub import PeerHub
from papayapier.peer.loss_exchange import LossExchange
from papayapier.policy.drain import Drain
from papayapier.settings import Settings
from papayapier.store.api import Store
from papayapier.store.budget import Budget
from papayapier.upstream.api import UpstreamClient
from papayapier.upstream.load_polls import LoadPolls


class Base(NamedTuple):
    """Group what all other components need; boot is the random id of this process run."""

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
    """Group the state of the known replicas and the clients that reach them."""

    policies: ReplicaPolicies
    view: FleetView
    crash_watch: CrashWatch
    upstreams: UpstreamClient
    load_polls: LoadPolls


class Services(NamedTuple):
    """Group the components that run requests and jobs and exchange messages with peers."""

    hub: PeerHub
    loss_exchange: LossExchange
    config: ConfigService
    online: OnlineDispatch
    item_dispatch: ItemDispatch
    batch: Batch
    claims: Claims
    orders: OrderController
