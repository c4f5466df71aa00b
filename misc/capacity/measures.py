"""Measure the cost of an instance as one quantity grows while all others stay constant.

Each measure returns points (quantity, figures). The capacity calculation uses the slope and
the constant of the least-squares line through the points, never single points.
"""

import json
import time
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from misc.capacity import fleets, probe
from misc.capacity.probe import Spent

NEIGHBOURS: Final = (1, 4, 8, 12)
LISTED: Final = (100, 700, 1_399)
REPLICAS: Final = (0, 50, 100, 200)
PROFILES: Final = (0, 100, 300)
CHANGES: Final = 100
REQUESTS: Final = 60
TOKENS: Final = (10, 100)
JOBS: Final = 40
ITEMS: Final = 3_000
CONFIG_APPLIED: Final = 602
CONFIG_ACCEPTED: Final = 601


class Point(NamedTuple):
    """Hold the figures of one instance at one value of the quantity."""

    quantity: int
    figures: dict[str, float]


class Measure(NamedTuple):
    """Hold the points that were measured for one quantity."""

    quantity: str
    points: list[Point]


def neighbours(seconds: float) -> Measure:
    """Vary the number of instances in a full mesh."""
    points = []
    for number in NEIGHBOURS:
        with fleets.running(number) as fleet:
            points.append(Point(number - 1, _idle(fleet, seconds)))
    return Measure("neighbours", points)


def listed(seconds: float) -> Measure:
    """Vary the number of listed instances; beyond a full mesh the number of links is bounded."""
    points = []
    for number in LISTED:
        with fleets.running(1) as fleet:
            running = fleets.list_instances(fleet, number)
            figures = {"neighbours": float(running), **_idle(fleet, seconds)}
            points.append(Point(number, figures))
    return Measure("listed instances", points)


def replicas(seconds: float) -> Measure:
    """Vary the number of replicas whose load an instance tracks."""
    points = []
    for number in REPLICAS:
        with fleets.running(1) as fleet:
            fleets.list_replicas(fleet, number)
            points.append(Point(number + fleets.ENGINES, _idle(fleet, seconds)))
    return Measure("replicas", points)


def profiles(seconds: float) -> Measure:
    """Vary the number of profiles in force."""
    points = []
    for number in PROFILES:
        with fleets.running(2) as fleet:
            for index in range(number):
                fleets.put_profile(fleet.operators[0], f"profile-{index}", 5_000, 0)
            points.append(Point(number, _idle(fleet, seconds)))
    return Measure("profiles", points)


def changes(_seconds: float) -> Measure:
    """Change one profile many times through one of six instances and measure another one."""
    quiet = {"level": "info", "form": "json"}
    with fleets.running(6, log=quiet) as fleet:
        watched, entry = fleet.instances[1], fleet.addresses.entries[1]
        time.sleep(probe.SETTLE_S)
        before = probe.read(fleet.group, watched, entry)
        version = 0
        for number in range(CHANGES):
            version = fleets.put_profile(fleet.operators[0], "often", 5_000 + number, version)
            time.sleep(0.05)
        time.sleep(1.0)
        used = probe.spent(before, probe.read(fleet.group, watched, entry))
        delays = _delays(fleet)
    figures = {
        "cpu_us": used.cpu_s * 1e6 / CHANGES,
        "peer_bytes": used.peer_bytes / CHANGES,
        "store_bytes": used.store_bytes / CHANGES,
        "store_calls": sum(used.calls.values()) / CHANGES,
        "in_force_p50_ms": _quantile(delays, 0.5),
        "in_force_max_ms": max(delays),
        "observations": float(len(delays)),
    }
    return Measure("changes", [Point(CHANGES, figures)])


def tokens(_seconds: float) -> Measure:
    """Vary the number of tokens in streamed responses, requested one after the other."""
    points = []
    with fleets.running(1) as fleet:
        fleets.put_profile(fleet.operators[0], "chat", 60_000, 0)
        time.sleep(probe.SETTLE_S)
        entry = fleet.addresses.entries[0]
        for number in TOKENS:
            before = probe.read(fleet.group, fleet.instances[0], entry)
            for index in range(REQUESTS):
                _chat(entry, f"question {index}", number)
            used = probe.spent(before, probe.read(fleet.group, fleet.instances[0], entry))
            points.append(Point(number, {"cpu_us": used.cpu_s * 1e6 / REQUESTS}))
    return Measure("tokens of an answer", points)


def jobs(_seconds: float) -> Measure:
    """Run many jobs of two items each, then one large job."""
    points = []
    for number, items in ((JOBS, 2), (1, ITEMS)):
        with fleets.running(1) as fleet:
            fleets.put_profile(fleet.operators[0], "notes", 600_000, 0, "batch")
            time.sleep(probe.SETTLE_S)
            entry = fleet.addresses.entries[0]
            before = probe.read(fleet.group, fleet.instances[0], entry)
            started = time.monotonic()
            ids = [_submit(entry, f"job-{index}", items) for index in range(number)]
            for job_id in ids:
                _await_job(entry, job_id)
            used = probe.spent(before, probe.read(fleet.group, fleet.instances[0], entry))
            points.append(Point(number * items, _job_figures(used, started, number)))
    return Measure("items", points)


MEASURES: Final[dict[str, Callable[[float], Measure]]] = {
    "neighbours": neighbours,
    "listed": listed,
    "replicas": replicas,
    "profiles": profiles,
    "changes": changes,
    "tokens": tokens,
    "jobs": jobs,
}


def _idle(fleet: fleets.Fleet, seconds: float) -> dict[str, float]:
    used = probe.idle(fleet.group, fleet.instances[0], fleet.addresses.entries[0], seconds)
    return {
        "core_share": used.core_share(),
        "rss_mb": used.rss_mb,
        "peer_bytes_per_s": used.per_second(used.peer_bytes),
        "peer_frames_per_s": used.per_second(used.peer_frames),
        "store_bytes_per_s": used.per_second(used.store_bytes),
        "store_calls_per_s": used.per_second(sum(used.calls.values())),
        **{f"calls_{name}_per_s": used.per_second(n) for name, n in used.calls.items()},
    }


def _delays(fleet: fleets.Fleet) -> list[float]:
    """Return the ms from the acceptance of each version until it was in force elsewhere.

    Log times of different instances are comparable because all run on one machine.
    """
    accepted = {line["version"]: line["at_ms"] for line in _events(fleet, 0, CONFIG_ACCEPTED)}
    delays = []
    for index in range(1, len(fleet.instances)):
        for line in _events(fleet, index, CONFIG_APPLIED):
            if line["version"] in accepted:
                delays.append(float(line["at_ms"] - accepted[line["version"]]))
    return delays


def _events(fleet: fleets.Fleet, index: int, number: int) -> list[dict[str, Any]]:
    lines = fleet.instances[index].errors.read_text().splitlines()
    documents = [json.loads(line) for line in lines if line.startswith("{")]
    return [document for document in documents if document.get("event") == number]


def _quantile(values: list[float], part: float) -> float:
    return sorted(values)[int(part * (len(values) - 1))]


def _chat(entry: str, prompt: str, number: int) -> None:
    body = {
        "model": "base",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": number,
        "stream": True,
    }
    url = f"http://{entry}/v1/chat/completions"
    answer = fleets.request("POST", url, json.dumps(body).encode(), X_Papayapier_Profile="chat")
    if not answer.rstrip().endswith(b"[DONE]"):
        raise RuntimeError(f"incomplete stream, it ends with {answer[-200:]!r}")


def _submit(entry: str, name: str, items: int) -> str:
    lines = [_item(f"{name}-{index}") for index in range(items)]
    uploaded = fleets.request(
        "POST", f"http://{entry}/v1/files", b"".join(lines), Content_Type="application/jsonl"
    )
    wanted = {
        "input_file_id": json.loads(uploaded)["id"],
        "endpoint": "/v1/chat/completions",
        "completion_window": "24h",
    }
    created = fleets.request(
        "POST",
        f"http://{entry}/v1/batches",
        json.dumps(wanted).encode(),
        X_Papayapier_Profile="notes",
        Idempotency_Key=name,
    )
    return str(json.loads(created)["id"])


def _item(custom_id: str) -> bytes:
    body = {
        "model": "base",
        "messages": [{"role": "user", "content": f"summary of {custom_id}"}],
        "max_tokens": TOKENS[0],
    }
    line = {"custom_id": custom_id, "method": "POST", "url": "/v1/chat/completions", "body": body}
    return json.dumps(line).encode() + b"\n"


def _await_job(entry: str, job_id: str) -> None:
    while True:
        job = json.loads(fleets.request("GET", f"http://{entry}/v1/batches/{job_id}", b""))
        if job["status"] == "completed":
            return
        if job["status"] not in ("validating", "in_progress", "finalizing"):
            raise RuntimeError(f"job {job_id} is {job['status']}")
        time.sleep(0.2)


def _job_figures(used: Spent, started: float, number: int) -> dict[str, float]:
    writes = sum(times for name, times in used.calls.items() if name in ("create", "update"))
    return {
        "jobs": float(number),
        "seconds": time.monotonic() - started,
        "cpu_s": used.cpu_s,
        "rss_mb": used.rss_mb,
        "writes": writes,
        "store_calls": sum(used.calls.values()),
        "store_bytes": used.store_bytes,
    }
