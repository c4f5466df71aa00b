"""Read the metrics of each instance that a report includes."""

from typing import Final, NamedTuple

from prometheus_client.parser import text_string_to_metric_families
from result import Result

from papayapier.load.http_calls import http_call

INVARIANT_FAILURES: Final = "papayapier_invariant_failures"
BATCH_ITEMS: Final = "papayapier_batch_items_total"
BATCH_TOKENS: Final = "papayapier_batch_tokens_total"
STORE_CALLS: Final = "papayapier_store_calls_total"
STORE_BYTES: Final = "papayapier_store_bytes_total"
PEER_BYTES: Final = "papayapier_peer_bytes_total"
REPORTED_METRICS: Final = (
    INVARIANT_FAILURES,
    "papayapier_retries_total",
    "papayapier_batch_yields_total",
    BATCH_ITEMS,
    BATCH_TOKENS,
    STORE_CALLS,
    STORE_BYTES,
    PEER_BYTES,
)


class InstanceResult(NamedTuple):
    """Hold the metrics of one instance, summed over their labels."""

    target: str
    metrics: dict[str, float]

    def failed_checks(self) -> float:
        """Return the number of failed internal checks."""
        return self.metrics.get(INVARIANT_FAILURES, 0.0)


def total(instances: list[InstanceResult], name: str) -> float:
    """Return the sum of a metric over instances."""
    return sum(instance.metrics.get(name, 0.0) for instance in instances)


async def read_instance(target: str) -> Result[InstanceResult, str]:
    """Read one instance's metrics."""
    response = await http_call("GET", f"http://{target}/metrics")
    return response.map(lambda content: InstanceResult(target, _sums(content.decode())))


def _sums(text: str) -> dict[str, float]:
    sums: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name in REPORTED_METRICS:
                sums[sample.name] = sums.get(sample.name, 0.0) + sample.value
    return sums
