"""Define the records shared by the entry, the dispatch and the policies."""

import random
from collections.abc import Callable
from typing import NamedTuple

from papayapier.clock import Clock
from papayapier.config.profiles import Profile
from papayapier.dispatch.crash_watch import CrashWatch
from papayapier.dispatch.lost_sends import request_fingerprint
from papayapier.metrics import Metrics
from papayapier.policy.admission import AdmissionQueue
from papayapier.policy.batch_share import BatchShare
from papayapier.policy.first_byte import FirstByteTimes
from papayapier.policy.loads import LoadTracker
from papayapier.policy.outliers import OutlierDetector
from papayapier.policy.retries import RetryBudget
from papayapier.upstream.api import Token, UpstreamClient
from papayapier.upstream.engine_calls import shared_parts


class OnlineRequest(NamedTuple):
    """Describe one online request; due_ms is on the monotonic clock.

    call_id stays the same across retries, so that an upstream can recognise a repeated run;
    each send has a request id of its own. generates is true for calls to a model engine and
    false for calls to a plain service. prefix is the start of the prompt.
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

    def fingerprint(self) -> str:
        """Return the request fingerprint, which is the same when the caller retries."""
        return request_fingerprint(self.method, self.profile.upstream, self.path, self.body)

    def shared_parts(self) -> tuple[str, ...]:
        """Return the parts of the prompt that other prompts may share."""
        return shared_parts(self.body) if self.generates else ()


OnToken = Callable[[Token], None]


class DispatchDeps(NamedTuple):
    """Group the dependencies of one instance's dispatch.

    on_uses_changed is called whenever the number of open calls at a replica changes.
    """

    clock: Clock
    rand: random.Random
    data_centre: str
    load_tracker: LoadTracker
    outliers: OutlierDetector
    crashes: CrashWatch
    queue: AdmissionQueue
    budget: RetryBudget
    first_bytes: FirstByteTimes
    share: BatchShare
    upstreams: UpstreamClient
    metrics: Metrics
    on_uses_changed: Callable[[], None]
