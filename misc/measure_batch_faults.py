"""Measure how batch jobs recover from a crash, a cancellation and a store outage.

    python -m misc.measure_batch_faults [--json] [--outage-s 60]

Three entry instances and nine engines, all real processes, run one job after the other. Each
figure comes from outside the instance: instance logs, engine counters, platform counters.
"""

import argparse
import json
import shutil
import signal
import statistics
import time
import urllib.request
from pathlib import Path
from typing import Any, Final, NamedTuple

from misc.fleet import HOST, ROOT, Addresses, FleetPlan, start_fleet
from misc.processes import Process, ProcessGroup

PLAN: Final = FleetPlan(
    instances=3,
    engines=9,
    engine_name="lm",
    services=1,
    standin={"engine": {"slots": 8, "base_ms": 10.0, "per_sequence_ms": 0.1}},
    settings={"log": {"form": "json", "level": "info"}},
)
PROFILE: Final = {
    "name": "notes",
    "upstream": "lm",
    "urgency": "batch",
    "due_ms": 3_600_000,
    "idempotent": True,
}
ITEMS: Final = 20_000
TOKENS: Final = 32
POLL_S: Final = 0.02
LIMIT_S: Final = 120.0
LAST_TOKENS_S: Final = 3.0
CALLS_S: Final = 5.0
SHARD_TAKEN: Final = 507
CANCELS: Final = 5


class Faults(NamedTuple):
    """Hold the figures; calls are those of all instances together to the platform."""

    takeover_first_ms: int
    takeover_last_ms: int
    shards_taken: int
    cancel_median_ms: int
    cancel_worst_ms: int
    outage_s: int
    items_during_outage: int
    recovery_ms: int
    calls_per_s_before: float
    calls_per_s_after: float


class Outage(NamedTuple):
    """Hold the figures of a store outage."""

    items: int
    recovery_ms: int
    calls_per_s_before: float
    calls_per_s_after: float


class Bench:
    """Submit jobs to a running fleet and read its counters."""

    def __init__(self, group: ProcessGroup, addresses: Addresses) -> None:
        self.group = group
        self.addresses = addresses
        listed = _call("GET", f"{addresses.platform}/instances")["instances"]
        self.engines = [f"{HOST}:{one['port']}" for one in listed if one["upstream"] == "lm"]

    def submit(self, entry: str) -> str:
        """Submit a job and return its id."""
        file = _call("POST", f"{entry}/v1/files", _lines())["id"]
        wanted = {
            "input_file_id": file,
            "endpoint": "/v1/completions",
            "completion_window": "1h",
        }
        headers = {"X-Papayapier-Profile": "notes"}
        return str(_call("POST", f"{entry}/v1/batches", _json(wanted), headers)["id"])

    def cancel(self, entry: str, job_id: str) -> None:
        """Cancel a job."""
        _call("POST", f"{entry}/v1/batches/{job_id}/cancel", b"")

    def tokens(self) -> int:
        """Return how many tokens the engines have generated."""
        return sum(int(_call("GET", f"{engine}/counts")["tokens"]) for engine in self.engines)

    def recorded(self, job_id: str) -> int:
        """Return how many tasks of a job have results; this costs one platform read."""
        url = f"{self.addresses.platform}/list?prefix=results/{job_id}/&after=&limit=1000"
        return len(_call("GET", url)["objects"])

    def calls(self) -> int:
        """Return how many calls the platform has received."""
        counts = _call("GET", f"{self.addresses.platform}/counts")
        return int(counts["reads"]) + int(counts["writes"]) + int(counts["watches"])

    def instance(self, number: int) -> Process:
        """Return the process of an instance."""
        return next(one for one in self.group.processes if one.name == f"entry-{number}")


def measure(outage_s: int) -> Faults:
    """Run the fleet and return the figures."""
    folder = ROOT / "out" / "batch-faults"
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    with ProcessGroup(folder) as group:
        bench = Bench(group, start_fleet(group, PLAN, folder))
        _put_profile(bench.addresses.operator)
        cancels = [_measure_cancel(bench) for _ in range(CANCELS)]
        outage = _measure_outage(bench, outage_s)
        takeover = _measure_takeover(bench, folder)
    return Faults(
        takeover_first_ms=takeover[0],
        takeover_last_ms=takeover[1],
        shards_taken=takeover[2],
        cancel_median_ms=round(statistics.median(cancels)),
        cancel_worst_ms=round(max(cancels)),
        outage_s=outage_s,
        items_during_outage=outage.items,
        recovery_ms=outage.recovery_ms,
        calls_per_s_before=outage.calls_per_s_before,
        calls_per_s_after=outage.calls_per_s_after,
    )


def _measure_cancel(bench: Bench) -> float:
    """Return the time in ms from the cancellation until the engines generate no more tokens."""
    entry, other = bench.addresses.entries[:2]
    job_id = bench.submit(entry)
    before = bench.tokens()
    _until(lambda: bench.tokens() > before + 1_000)
    began = time.monotonic()
    bench.cancel(other, job_id)
    last = time.monotonic()
    tokens = bench.tokens()
    while time.monotonic() < last + LAST_TOKENS_S:
        now = bench.tokens()
        if now != tokens:
            tokens, last = now, time.monotonic()
        time.sleep(POLL_S)
    return (last - began) * 1000


def _measure_outage(bench: Bench, outage_s: int) -> Outage:
    """Return how many items ran during an outage and how the instances recovered from it."""
    entry = bench.addresses.entries[0]
    job_id = bench.submit(entry)
    _until(lambda: bench.recorded(job_id) > 0)
    calls = bench.calls()
    time.sleep(CALLS_S)
    before = (bench.calls() - calls) / CALLS_S
    recorded = bench.recorded(job_id)
    _call("POST", f"{bench.addresses.platform}/control", _json({"outage": True}))
    tokens = bench.tokens()
    time.sleep(outage_s)
    items = (bench.tokens() - tokens) // TOKENS
    calls = bench.calls()
    _call("POST", f"{bench.addresses.platform}/control", _json({"outage": False}))
    began = time.monotonic()
    recovery_ms = 0
    polls = 0
    while time.monotonic() < began + CALLS_S:
        if not recovery_ms:
            polls += 1
            if bench.recorded(job_id) > recorded:
                recovery_ms = round((time.monotonic() - began) * 1000)
        time.sleep(POLL_S)
    after = (bench.calls() - calls - polls) / CALLS_S
    bench.cancel(entry, job_id)
    return Outage(items, recovery_ms, round(before, 1), round(after, 1))


def _measure_takeover(bench: Bench, folder: Path) -> tuple[int, int, int]:
    """Return the ms from a crash to the first and the last shard takeover, and their number."""
    entry = bench.addresses.entries[0]
    job_id = bench.submit(entry)
    _until(lambda: bench.recorded(job_id) > 0)
    killed_ms = time.time() * 1000
    bench.instance(2).signal(signal.SIGKILL)
    _until(lambda: len(_taken(folder, killed_ms)) > 0)
    time.sleep(CALLS_S)
    taken = _taken(folder, killed_ms)
    bench.cancel(entry, job_id)
    return round(min(taken) - killed_ms), round(max(taken) - killed_ms), len(taken)


def _taken(folder: Path, since_ms: float) -> list[float]:
    """Return when shards of the crashed instance were taken over, from the instance logs."""
    found: list[float] = []
    for path in folder.glob("entry-*.err"):
        for line in path.read_text().splitlines():
            if f'"event":{SHARD_TAKEN},' not in line:
                continue
            event = json.loads(line)
            if event["lossy"] and event["at_ms"] > since_ms:
                found.append(event["at_ms"])
    return found


def _until(holds: Any) -> None:
    until = time.monotonic() + LIMIT_S
    while not holds():
        if time.monotonic() > until:
            raise RuntimeError("timed out waiting for the fleet; its logs are in out/batch-faults")
        time.sleep(POLL_S)


def _put_profile(operator: str) -> None:
    body = {"profile": PROFILE, "based_on": 0, "reason": "measure", "change_id": "measure-1"}
    _call("PUT", f"{operator}/v1/profiles/notes", _json(body))


def _lines() -> bytes:
    rows = (
        {
            "custom_id": f"note-{n}",
            "method": "POST",
            "url": "/v1/completions",
            "body": {"model": "lm", "prompt": f"note {n} of the yard", "max_tokens": TOKENS},
        }
        for n in range(ITEMS)
    )
    return b"".join(_json(row) + b"\n" for row in rows)


def _json(value: Any) -> bytes:
    return json.dumps(value).encode()


def _call(
    method: str, url: str, data: bytes | None = None, headers: dict[str, str] | None = None
) -> Any:
    request = urllib.request.Request(f"http://{url}", data, headers or {}, method=method)
    with urllib.request.urlopen(request, timeout=30) as answer:
        return json.loads(answer.read() or b"null")


def main() -> None:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--json", action="store_true", help="print JSON instead of a table")
    parser.add_argument("--outage-s", type=int, default=60, help="length of the outage in seconds")
    options = parser.parse_args()
    figures = measure(options.outage_s)._asdict()
    if options.json:
        print(json.dumps(figures, indent=2))
        return
    for name, value in figures.items():
        print(f"{name:<22}{value:>10,}")


if __name__ == "__main__":
    main()
