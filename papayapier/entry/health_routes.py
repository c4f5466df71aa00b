"""Serve health, readiness and metrics."""

from typing import TYPE_CHECKING

from papayapier.entry.answers import reply_json
from papayapier.health import METRICS_CONTENT_TYPE, Health, metrics_text

if TYPE_CHECKING:
    from collections.abc import Callable

    from klein import Klein

    from papayapier.entry.web import WebRequest
    from papayapier.metrics import Metrics


def add_health_routes(app: "Klein", why_not_ready: "Callable[[], str]", metrics: "Metrics") -> None:
    """Add /healthz, /readyz and /metrics to an app."""

    @app.route("/healthz", methods=["GET"])
    def healthz(request: "WebRequest") -> bytes:
        return reply_json(request, Health(True))

    @app.route("/readyz", methods=["GET"])
    def readyz(request: "WebRequest") -> bytes:
        reason = why_not_ready()
        return reply_json(request, Health(not reason, reason), 503 if reason else 200)

    @app.route("/metrics", methods=["GET"])
    def show_metrics(request: "WebRequest") -> bytes:
        request.setHeader(b"Content-Type", METRICS_CONTENT_TYPE)
        return metrics_text(metrics)
