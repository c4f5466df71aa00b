"""Compute the processor time and memory of each process in each measured phase of a run."""

from typing import Any, Final, NamedTuple

from misc.processes import Process
from papayapier.load.table import Table

US_PER_S: Final = 1_000_000
MS_PER_S: Final = 1_000
ENTRY: Final = "entry"


class ProcessCost(NamedTuple):
    """Hold the cost of one process in one phase; core_share is the share of one core used."""

    phase: str
    name: str
    role: str
    cpu_s: float
    core_share: float
    rss_mb: float


class RequestCost(NamedTuple):
    """Hold the cost of all entry instances together in one phase, in total and per request.

    us_above_idle excludes the processor time that they use in a phase without requests or batch
    jobs; it is 0 when the run has no such phase.
    """

    phase: str
    requests: int
    tokens: int
    cpu_s: float
    us_per_request: float
    us_above_idle: float
    largest_rss_mb: float
    busiest_core_share: float
    busiest_other: str


def with_cost(document: dict[str, Any], processes: list[Process]) -> dict[str, Any]:
    """Return the results document with the costs added."""
    costs = [
        _process_cost(phase, process, document)
        for phase in _phases(document)
        for process in processes
    ]
    plain = [_request_cost(phase, document, costs) for phase in _phases(document)]
    requests = [_above_idle(one, plain, document) for one in plain]
    return {
        **document,
        "process_costs": [cost._asdict() for cost in costs],
        "request_costs": [cost._asdict() for cost in requests],
    }


def cost_text(document: dict[str, Any]) -> str:
    """Format the cost per request as a text table."""
    rows = [_row(RequestCost(**cost)) for cost in document["request_costs"]]
    header = (
        "phase",
        "busiest other process",
        "requests",
        "entry cpu s",
        "us/request",
        "above idle",
    )
    title = "cost of the entry instances together"
    return Table(title, (*header, "largest MB", "busiest core"), rows).text()


def _row(cost: RequestCost) -> tuple[str, ...]:
    return (
        cost.phase,
        cost.busiest_other,
        str(cost.requests),
        f"{cost.cpu_s:.2f}",
        f"{cost.us_per_request:.0f}",
        f"{cost.us_above_idle:.0f}",
        f"{cost.largest_rss_mb:.0f}",
        f"{cost.busiest_core_share:.2f}",
    )


def _phases(document: dict[str, Any]) -> list[str]:
    return list(dict.fromkeys(window["phase"] for window in document["windows"]))


def _process_cost(phase: str, process: Process, document: dict[str, Any]) -> ProcessCost:
    cpu_s = 0.0
    wall_ms = 0
    rss_mb = 0.0
    for window in document["windows"]:
        if window["phase"] != phase:
            continue
        start, end = window["start_wall_ms"], window["end_wall_ms"]
        cpu_s += process.cpu_at(end) - process.cpu_at(start)
        wall_ms += end - start
        inside = [one.rss_mb for one in process.samples if start <= one.wall_ms <= end]
        rss_mb = max([rss_mb, *inside])
    share = cpu_s * MS_PER_S / max(1, wall_ms)
    return ProcessCost(phase, process.name, process.role, round(cpu_s, 3), round(share, 4), rss_mb)


def _request_cost(phase: str, document: dict[str, Any], costs: list[ProcessCost]) -> RequestCost:
    classes = [one for one in document["classes"] if one["phase"] == phase]
    requests = sum(one["sent"] for one in classes)
    entries = [cost for cost in costs if cost.phase == phase and cost.role == ENTRY]
    others = [cost for cost in costs if cost.phase == phase and cost.role != ENTRY]
    busiest = max(others, key=lambda cost: cost.core_share)
    cpu_s = sum(cost.cpu_s for cost in entries)
    return RequestCost(
        phase,
        requests,
        sum(one["tokens"] for one in classes),
        round(cpu_s, 3),
        round(cpu_s * US_PER_S / requests, 1) if requests else 0.0,
        0.0,
        max((cost.rss_mb for cost in entries), default=0.0),
        max((cost.core_share for cost in entries), default=0.0),
        f"{busiest.name} {busiest.core_share:.2f}",
    )


def _above_idle(
    cost: RequestCost, plain: list[RequestCost], document: dict[str, Any]
) -> RequestCost:
    batch = {one["phase"]: one["batch_tokens_per_s"] for one in document["batch"]}
    idle = [one for one in plain if not one.requests and abs(batch.get(one.phase, 0)) < 1]
    if not idle or not cost.requests:
        return cost
    idle_cpu_s = idle[0].cpu_s / _counted_ms(document, idle[0].phase)
    above_s = cost.cpu_s - idle_cpu_s * _counted_ms(document, cost.phase)
    return cost._replace(us_above_idle=round(above_s * US_PER_S / cost.requests, 1))


def _counted_ms(document: dict[str, Any], phase: str) -> int:
    windows = [one for one in document["windows"] if one["phase"] == phase]
    return sum(one["end_wall_ms"] - one["start_wall_ms"] for one in windows)
