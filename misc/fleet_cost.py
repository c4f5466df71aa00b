"""Compute the processor time and memory of each process in each measured phase of a run."""

from typing import Any, Final, NamedTuple

from misc.processes import Process
from papayapier.load.table import Table

US_PER_S: Final = 1_000_000
MS_PER_S: Final = 1_000
ENTRY_ROLE: Final = "entry"


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


def add_costs(document: dict[str, Any], processes: list[Process]) -> dict[str, Any]:
    """Return the results document with the costs added."""
    costs = [
        _make_process_cost(phase, process, document)
        for phase in _phases(document)
        for process in processes
    ]
    totals = [_make_request_cost(phase, document, costs) for phase in _phases(document)]
    requests = [_subtract_idle(total, totals, document) for total in totals]
    return {
        **document,
        "process_costs": [cost._asdict() for cost in costs],
        "request_costs": [cost._asdict() for cost in requests],
    }


def format_costs(document: dict[str, Any]) -> str:
    """Format the cost per request as a text table."""
    rows = [_format_row(RequestCost(**cost)) for cost in document["request_costs"]]
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


def _format_row(cost: RequestCost) -> tuple[str, ...]:
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


def _make_process_cost(phase: str, process: Process, document: dict[str, Any]) -> ProcessCost:
    cpu_s = 0.0
    wall_ms = 0
    rss_mb = 0.0
    for window in document["windows"]:
        if window["phase"] != phase:
            continue
        start, end = window["start_wall_ms"], window["end_wall_ms"]
        cpu_s += process.cpu_at(end) - process.cpu_at(start)
        wall_ms += end - start
        inside = [sample.rss_mb for sample in process.samples if start <= sample.wall_ms <= end]
        rss_mb = max([rss_mb, *inside])
    share = cpu_s * MS_PER_S / max(1, wall_ms)
    return ProcessCost(phase, process.name, process.role, round(cpu_s, 3), round(share, 4), rss_mb)


def _make_request_cost(
    phase: str, document: dict[str, Any], costs: list[ProcessCost]
) -> RequestCost:
    classes = [
        traffic_class for traffic_class in document["classes"] if traffic_class["phase"] == phase
    ]
    requests = sum(traffic_class["sent"] for traffic_class in classes)
    entries = [cost for cost in costs if cost.phase == phase and cost.role == ENTRY_ROLE]
    others = [cost for cost in costs if cost.phase == phase and cost.role != ENTRY_ROLE]
    busiest = max(others, key=lambda cost: cost.core_share)
    cpu_s = sum(cost.cpu_s for cost in entries)
    return RequestCost(
        phase,
        requests,
        sum(traffic_class["tokens"] for traffic_class in classes),
        round(cpu_s, 3),
        round(cpu_s * US_PER_S / requests, 1) if requests else 0.0,
        0.0,
        max((cost.rss_mb for cost in entries), default=0.0),
        max((cost.core_share for cost in entries), default=0.0),
        f"{busiest.name} {busiest.core_share:.2f}",
    )


def _subtract_idle(
    cost: RequestCost, totals: list[RequestCost], document: dict[str, Any]
) -> RequestCost:
    batch = {row["phase"]: row["batch_tokens_per_s"] for row in document["batch"]}
    idle_phases = [row for row in totals if not row.requests and abs(batch.get(row.phase, 0)) < 1]
    if not idle_phases or not cost.requests:
        return cost
    idle_s_per_ms = idle_phases[0].cpu_s / _phase_ms(document, idle_phases[0].phase)
    above_s = cost.cpu_s - idle_s_per_ms * _phase_ms(document, cost.phase)
    return cost._replace(us_above_idle=round(above_s * US_PER_S / cost.requests, 1))


def _phase_ms(document: dict[str, Any], phase: str) -> int:
    windows = [window for window in document["windows"] if window["phase"] == phase]
    return sum(window["end_wall_ms"] - window["start_wall_ms"] for window in windows)
