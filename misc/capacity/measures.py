"""Measure the cost of an instance as one quantity grows while all others stay constant.

Each measure returns points (quantity, figures). The capacity calculation uses the slope and
the constant of the least-squares line through the points, never single points.
"""

import json
import time
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from misc.capacity import fleets, probe
from misc.capacity.probe import Usage

MESH_SIZES: Final = (1, 4, 8, 12)
LISTED_COUNTS: Final = (100, 700, 1_399)
REPLICA_COUNTS: Final = (0, 50, 100, 200)
PROFILE_COUNTS: Final = (0, 100, 300)
CHANGE_COUNT: Final = 100
REQUEST_COUNT: Final = 60
TOKEN_COUNTS: Final = (10, 100)
JOB_COUNT: Final = 40
LARGE_JOB_ITEMS: Final = 3_000
CONFIG_APPLIED_EVENT: Final = 602
CONFIG_ACCEPTED_EVENT: Final = 601


class Point(NamedTuple):
    """Hold the figures of one instance at one value of the quantity."""

    quantity: int
    figures: dict[str, float]


class Measurement(NamedTuple):
    """Hold the points that were measured for one quantity."""

    quantity: str
    points: list[Point]


def measure_neighbours(seconds: float) -> Measurement:
    """Vary the number of instances in a full mesh."""
    points = []
    for number in MESH_SIZES:
        with fleets.run_fleet(number) as fleet:
            points.append(Point(number - 1, _idle_figures(fleet, seconds)))
    return Measurement("neighbours", points)


def measure_listed(seconds: float) -> Measurement:
    """Vary the number of listed instances; beyond a full mesh the number of links is bounded."""
    points = []
    for number in LISTED_COUNTS:
        with fleets.run_fleet(1) as fleet:
            running_count = fleets.register_instances(fleet, number)
            figures = {"neighbours": float(running_count), **_idle_figures(fleet, seconds)}
            points.append(Point(number, figures))
    return Measurement("listed instances", points)


def measure_replicas(seconds: float) -> Measurement:
    """Vary the number of replicas whose load an instance tracks."""
    points = []
    for number in REPLICA_COUNTS:
        with fleets.run_fleet(1) as fleet:
            fleets.register_replicas(fleet, number)
            points.append(Point(number + fleets.ENGINES, _idle_figures(fleet, seconds)))
    return Measurement("replicas", points)


def measure_profiles(seconds: float) -> Measurement:
    """Vary the number of profiles in force."""
    points = []
    for number in PROFILE_COUNTS:
        with fleets.run_fleet(2) as fleet:
            for index in range(number):
                fleets.put_profile(fleet.operators[0], f"profile-{index}", 5_000, 0)
            points.append(Point(number, _idle_figures(fleet, seconds)))
    return Measurement("profiles", points)


def measure_changes(_seconds: float) -> Measurement:
    """Change one profile many times through one of six instances and measure another one."""
    log_settings = {"level": "info", "form": "json"}
    with fleets.run_fleet(6, log=log_settings) as fleet:
        measured, entry = fleet.instances[1], fleet.addresses.entries[1]
        time.sleep(probe.SETTLE_S)
        before = probe.read_counters(fleet.group, measured, entry)
        version = 0
        for number in range(CHANGE_COUNT):
            version = fleets.put_profile(fleet.operators[0], "often", 5_000 + number, version)
            time.sleep(0.05)
        time.sleep(1.0)
        usage = probe.usage_between(before, probe.read_counters(fleet.group, measured, entry))
        delays = _apply_delays(fleet)
    figures = {
        "cpu_us": usage.cpu_s * 1e6 / CHANGE_COUNT,
        "peer_bytes": usage.peer_bytes / CHANGE_COUNT,
        "store_bytes": usage.store_bytes / CHANGE_COUNT,
        "store_calls": sum(usage.calls.values()) / CHANGE_COUNT,
        "in_force_p50_ms": _quantile(delays, 0.5),
        "in_force_max_ms": max(delays),
        "observations": float(len(delays)),
    }
    return Measurement("changes", [Point(CHANGE_COUNT, figures)])


def measure_tokens(_seconds: float) -> Measurement:
    """Vary the number of tokens in streamed responses, requested one after the other."""
    points = []
    with fleets.run_fleet(1) as fleet:
        fleets.put_profile(fleet.operators[0], "chat", 60_000, 0)
        time.sleep(probe.SETTLE_S)
        entry = fleet.addresses.entries[0]
        for number in TOKEN_COUNTS:
            before = probe.read_counters(fleet.group, fleet.instances[0], entry)
            for index in range(REQUEST_COUNT):
                _send_chat(entry, f"question {index}", number)
            usage = probe.usage_between(
                before, probe.read_counters(fleet.group, fleet.instances[0], entry)
            )
            points.append(Point(number, {"cpu_us": usage.cpu_s * 1e6 / REQUEST_COUNT}))
    return Measurement("tokens of an answer", points)


def measure_jobs(_seconds: float) -> Measurement:
    """Run many jobs of two items each, then one large job."""
    points = []
    for number, items in ((JOB_COUNT, 2), (1, LARGE_JOB_ITEMS)):
        with fleets.run_fleet(1) as fleet:
            fleets.put_profile(fleet.operators[0], "notes", 600_000, 0, "batch")
            time.sleep(probe.SETTLE_S)
            entry = fleet.addresses.entries[0]
            before = probe.read_counters(fleet.group, fleet.instances[0], entry)
            started = time.monotonic()
            job_ids = [_submit_job(entry, f"job-{index}", items) for index in range(number)]
            for job_id in job_ids:
                _wait_job(entry, job_id)
            usage = probe.usage_between(
                before, probe.read_counters(fleet.group, fleet.instances[0], entry)
            )
            points.append(Point(number * items, _job_figures(usage, started, number)))
    return Measurement("items", points)


MEASUREMENTS: Final[dict[str, Callable[[float], Measurement]]] = {
    "neighbours": measure_neighbours,
    "listed": measure_listed,
    "replicas": measure_replicas,
    "profiles": measure_profiles,
    "changes": measure_changes,
    "tokens": measure_tokens,
    "jobs": measure_jobs,
}


def _idle_figures(fleet: fleets.Fleet, seconds: float) -> dict[str, float]:
    usage = probe.measure_idle(fleet.group, fleet.instances[0], fleet.addresses.entries[0], seconds)
    return {
        "core_share": usage.core_share(),
        "rss_mb": usage.rss_mb,
        "peer_bytes_per_s": usage.per_second(usage.peer_bytes),
        "peer_frames_per_s": usage.per_second(usage.peer_frames),
        "store_bytes_per_s": usage.per_second(usage.store_bytes),
        "store_calls_per_s": usage.per_second(sum(usage.calls.values())),
        **{f"calls_{name}_per_s": usage.per_second(n) for name, n in usage.calls.items()},
    }


def _apply_delays(fleet: fleets.Fleet) -> list[float]:
    """Return the ms from the acceptance of each version until it was in force elsewhere.

    Log times of different instances are comparable because all run on one machine.
    """
    accepted = {line["version"]: line["at_ms"] for line in _events(fleet, 0, CONFIG_ACCEPTED_EVENT)}
    delays = []
    for index in range(1, len(fleet.instances)):
        for line in _events(fleet, index, CONFIG_APPLIED_EVENT):
            if line["version"] in accepted:
                delays.append(float(line["at_ms"] - accepted[line["version"]]))
    return delays


def _events(fleet: fleets.Fleet, index: int, number: int) -> list[dict[str, Any]]:
    lines = fleet.instances[index].stderr_path.read_text().splitlines()
    documents = [json.loads(line) for line in lines if line.startswith("{")]
    return [document for document in documents if document.get("event") == number]


def _quantile(values: list[float], fraction: float) -> float:
    return sorted(values)[int(fraction * (len(values) - 1))]


def _send_chat(entry: str, prompt: str, max_tokens: int) -> None:
    body = {
        "model": "base",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": True,
    }
    url = f"http://{entry}/v1/chat/completions"
    response = fleets.request("POST", url, json.dumps(body).encode(), X_Papayapier_Profile="chat")
    if not response.rstrip().endswith(b"[DONE]"):
        raise RuntimeError(f"incomplete stream, it ends with {response[-200:]!r}")


def _submit_job(entry: str, name: str, items: int) -> str:
    lines = [_make_item(f"{name}-{index}") for index in range(items)]
    uploaded = fleets.request(
        "POST", f"http://{entry}/v1/files", b"".join(lines), Content_Type="application/jsonl"
    )
    batch = {
        "input_file_id": json.loads(uploaded)["id"],
        "endpoint": "/v1/chat/completions",
        "completion_window": "24h",
    }
    created = fleets.request(
        "POST",
        f"http://{entry}/v1/batches",
        json.dumps(batch).encode(),
        X_Papayapier_Profile="notes",
        Idempotency_Key=name,
    )
    return str(json.loads(created)["id"])


def _make_item(custom_id: str) -> bytes:
    body = {
        "model": "base",
        "messages": [{"role": "user", "content": f"summary of {custom_id}"}],
        "max_tokens": TOKEN_COUNTS[0],
    }
    line = {"custom_id": custom_id, "method": "POST", "url": "/v1/chat/completions", "body": body}
    return json.dumps(line).encode() + b"\n"


def _wait_job(entry: str, job_id: str) -> None:
    while True:
        job = json.loads(fleets.request("GET", f"http://{entry}/v1/batches/{job_id}", b""))
        if job["status"] == "completed":
            return
        if job["status"] not in ("validating", "in_progress", "finalizing"):
            raise RuntimeError(f"job {job_id} is {job['status']}")
        time.sleep(0.2)


def _job_figures(usage: Usage, started: float, number: int) -> dict[str, float]:
    writes = sum(count for name, count in usage.calls.items() if name in ("create", "update"))
    return {
        "jobs": float(number),
        "seconds": time.monotonic() - started,
        "cpu_s": usage.cpu_s,
        "rss_mb": usage.rss_mb,
        "writes": writes,
        "store_calls": sum(usage.calls.values()),
        "store_bytes": usage.store_bytes,
    }
