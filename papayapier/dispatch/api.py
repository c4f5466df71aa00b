"""Define what passes between the entry, the dispatch and the policies."""

import random
from collections.abc import Callable
from typing import NamedTuple

from papayapier.clock import Clock
from papayapier.config.profiles import Profile
from papayapier.dispatch.crash_watch import CrashWatch
from papayapier.dispatch.lost_sends import name_work
from papayapier.metrics import Metrics
from papayapier.policy.admission import AdmissionQueue
from papayapier.policy.batch_share import BatchShare
from papayapier.policy.first_byte import FirstByteTimes
from papayapier.policy.loads import LoadBook
from papayapier.policy.outliers import Outliers
from papayapier.policy.retries import RetryBudget
from papayapier.upstream.api import Token, Upstreams


class OnlineRequest(NamedTuple):
    """Describe one online request; due_ms is on the monotonic clock.

    call_id names the work and stays the same when the work is sent again, so that an
    upstream can tell a second run; each send has a request id of its own. generates tells a
    model engine's call from a plain service's. prefix is the start of the prompt.
    """

    call_id: str
    caller: str
    profile: Profile
    method: str
    path: str
    body: bytes
    content_type: str
    generates: bool
    prefix: str
    due_ms: int

    def work(self) -> str:
        """Return the name of the work, which is the same when its caller returns."""
        return name_work(self.method, self.profile.upstream, self.path, self.body)


OnToken = Callable[[Token], None]


class DispatchDeps(NamedTuple):
    """Group what the dispatch of one instance works with.

    uses_changed is told whenever the open calls at some replica have changed.
    """

    clock: Clock
    rand: random.Random
    data_centre: str
    book: LoadBook
    outliers: Outliers
    crashes: CrashWatch
    queue: AdmissionQueue
    budget: RetryBudget
    first_bytes: FirstByteTimes
    share: BatchShare
    upstreams: Upstreams
    metrics: Metrics
    uses_changed: Callable[[], None]
