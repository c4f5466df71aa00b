"""Serve health, readiness and metrics of a process on the platform.

The four paths are fixed and need no routing library: importing it would add 0.15 s to each start,
and after a power loss all callers wait for the starts.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

from twisted.web.resource import Resource

from papayapier.entry.answers import refuse, reply_json, with_content_length
from papayapier.errors import ErrorKind, not_run_refusal
from papayapier.health import METRICS_CONTENT_TYPE, Health, metrics_text
from papayapier.metrics import Metrics
from papayapier.platform.readiness import READINESS_PATH

if TYPE_CHECKING:
    from papayapier.entry.web import WebRequest

HEALTH_PATH: Final = b"/healthz"
READY_PATHS: Final = frozenset({b"/readyz", READINESS_PATH})
METRICS_PATH: Final = b"/metrics"

_Resource: Any = Resource


class HealthResource(_Resource):  # type: ignore[misc]
    """Serve the health and readiness checks and the metrics."""

    isLeaf = True  # noqa: N815

    def __init__(self, not_ready_reason: Callable[[], str], metrics: Metrics) -> None:
        super().__init__()
        self._not_ready_reason = not_ready_reason
        self._metrics = metrics

    def render_GET(self, request: "WebRequest") -> bytes:  # noqa: N802
        if request.path == HEALTH_PATH:
            return reply_json(request, Health(True))
        if request.path in READY_PATHS:
            reason = self._not_ready_reason()
            return reply_json(request, Health(not reason, reason), 503 if reason else 200)
        if request.path == METRICS_PATH:
            request.setHeader(b"Content-Type", METRICS_CONTENT_TYPE)
            return with_content_length(request, metrics_text(self._metrics))
        path = request.path.decode("ascii", "replace")
        refusal = not_run_refusal(ErrorKind.NOT_FOUND, f"nothing is served at {path}")
        return with_content_length(request, refuse(request, refusal))
