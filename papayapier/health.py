"""Say whether an instance is well, and what its metrics are, for whatever serves them."""

from typing import Final, NamedTuple

from prometheus_client import generate_latest

from papayapier.metrics import Metrics

METRICS_TYPE: Final = b"text/plain; version=0.0.4; charset=utf-8"


class Health(NamedTuple):
    """Tell whether an instance is well, and why not."""

    ok: bool
    reason: str = ""


def metrics_text(metrics: Metrics) -> bytes:
    """Return the metrics in the text form that monitoring reads."""
    return generate_latest(metrics.registry)
