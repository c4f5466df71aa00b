"""Answer the platform's question whether a process may be sent callers."""

from collections.abc import Callable

from klein import Klein

from papayapier.entry.answers import reply_json
from papayapier.entry.health_routes import Health
from papayapier.entry.web import WebRequest


def add_readiness(app: Klein, why_not: Callable[[], str]) -> None:
    """Add the platform's path to an app."""

    @app.route("/v1/readiness", methods=["GET"])
    def ready(request: WebRequest) -> bytes:
        reason = why_not()
        return reply_json(request, Health(not reason, reason), 503 if reason else 200)
