"""Define what the health and metrics endpoints of an instance serve."""

from typing import Final, NamedTuple

from prometheus_client import generate_latest

from papayapier.metrics import Metrics

METRICS_CONTENT_TYPE: Final = b"text/plain; version=0.0.4; charset=utf-8"


class Health(NamedTuple):
    """Hold whether an instance is healthy, and the reason if it is not."""

    ok: bool
    reason: str = ""


def metrics_text(metrics: Metrics) -> bytes:
    """Return the metrics in the text format of Prometheus."""
    return generate_latest(metrics.registry)
