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

FLEET_PLAN: Final = FleetPlan(
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
WAIT_TIMEOUT_S: Final = 120.0
TOKENS_QUIET_S: Final = 3.0
CALL_RATE_WINDOW_S: Final = 5.0
SHARD_TAKEN_EVENT: Final = 507
CANCEL_RUNS: Final = 5


class FaultFigures(NamedTuple):
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


class OutageFigures(NamedTuple):
    """Hold the figures of a store outage."""

    items: int
    recovery_ms: int
    calls_per_s_before: float
    calls_per_s_after: float


class FleetDriver:
    """Submit jobs to a running fleet and read its counters."""

    def __init__(self, group: ProcessGroup, addresses: Addresses) -> None:
        self.group = group
        self.addresses = addresses
        members = _send_request("GET", f"{addresses.platform}/instances")["instances"]
        self.engines = [
            f"{HOST}:{member['port']}" for member in members if member["upstream"] == "lm"
        ]

    def submit(self, entry: str) -> str:
        """Submit a job and return its id."""
        file_id = _send_request("POST", f"{entry}/v1/files", _input_lines())["id"]
        batch = {
            "input_file_id": file_id,
            "endpoint": "/v1/completions",
            "completion_window": "1h",
        }
        headers = {"X-Papayapier-Profile": "notes"}
        return str(_send_request("POST", f"{entry}/v1/batches", _to_json(batch), headers)["id"])

    def cancel(self, entry: str, job_id: str) -> None:
        """Cancel a job."""
        _send_request("POST", f"{entry}/v1/batches/{job_id}/cancel", b"")

    def read_tokens(self) -> int:
        """Return how many tokens the engines have generated."""
        return sum(
            int(_send_request("GET", f"{engine}/counts")["tokens"]) for engine in self.engines
        )

    def count_results(self, job_id: str) -> int:
        """Return how many tasks of a job have results; this costs one platform read."""
        url = f"{self.addresses.platform}/list?prefix=results/{job_id}/&after=&limit=1000"
        return len(_send_request("GET", url)["objects"])

    def count_calls(self) -> int:
        """Return how many calls the platform has received."""
        counts = _send_request("GET", f"{self.addresses.platform}/counts")
        return int(counts["reads"]) + int(counts["writes"]) + int(counts["watches"])

    def entry_process(self, number: int) -> Process:
        """Return the process of an instance."""
        return next(
            process for process in self.group.processes if process.name == f"entry-{number}"
        )


def measure(outage_s: int) -> FaultFigures:
    """Run the fleet and return the figures."""
    folder = ROOT / "out" / "batch-faults"
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    with ProcessGroup(folder) as group:
        driver = FleetDriver(group, start_fleet(group, FLEET_PLAN, folder))
        _put_profile(driver.addresses.operator)
        cancel_times_ms = [_measure_cancel(driver) for _ in range(CANCEL_RUNS)]
        outage = _measure_outage(driver, outage_s)
        takeover = _measure_takeover(driver, folder)
    return FaultFigures(
        takeover_first_ms=takeover[0],
        takeover_last_ms=takeover[1],
        shards_taken=takeover[2],
        cancel_median_ms=round(statistics.median(cancel_times_ms)),
        cancel_worst_ms=round(max(cancel_times_ms)),
        outage_s=outage_s,
        items_during_outage=outage.items,
        recovery_ms=outage.recovery_ms,
        calls_per_s_before=outage.calls_per_s_before,
        calls_per_s_after=outage.calls_per_s_after,
    )


def _measure_cancel(driver: FleetDriver) -> float:
    """Return the time in ms from the cancellation until the engines generate no more tokens."""
    entry, other = driver.addresses.entries[:2]
    job_id = driver.submit(entry)
    before = driver.read_tokens()
    _wait_until(lambda: driver.read_tokens() > before + 1_000)
    started = time.monotonic()
    driver.cancel(other, job_id)
    last = time.monotonic()
    tokens = driver.read_tokens()
    while time.monotonic() < last + TOKENS_QUIET_S:
        now = driver.read_tokens()
        if now != tokens:
            tokens, last = now, time.monotonic()
        time.sleep(POLL_S)
    return (last - started) * 1000


def _measure_outage(driver: FleetDriver, outage_s: int) -> OutageFigures:
    """Return how many items ran during an outage and how the instances recovered from it."""
    entry = driver.addresses.entries[0]
    job_id = driver.submit(entry)
    _wait_until(lambda: driver.count_results(job_id) > 0)
    calls = driver.count_calls()
    time.sleep(CALL_RATE_WINDOW_S)
    rate_before = (driver.count_calls() - calls) / CALL_RATE_WINDOW_S
    results_before = driver.count_results(job_id)
    _send_request("POST", f"{driver.addresses.platform}/control", _to_json({"outage": True}))
    tokens = driver.read_tokens()
    time.sleep(outage_s)
    items = (driver.read_tokens() - tokens) // TOKENS
    calls = driver.count_calls()
    _send_request("POST", f"{driver.addresses.platform}/control", _to_json({"outage": False}))
    started = time.monotonic()
    recovery_ms = 0
    polls = 0
    while time.monotonic() < started + CALL_RATE_WINDOW_S:
        if not recovery_ms:
            polls += 1
            if driver.count_results(job_id) > results_before:
                recovery_ms = round((time.monotonic() - started) * 1000)
        time.sleep(POLL_S)
    rate_after = (driver.count_calls() - calls - polls) / CALL_RATE_WINDOW_S
    driver.cancel(entry, job_id)
    return OutageFigures(items, recovery_ms, round(rate_before, 1), round(rate_after, 1))


def _measure_takeover(driver: FleetDriver, folder: Path) -> tuple[int, int, int]:
    """Return the ms from a crash to the first and the last shard takeover, and their number."""
    entry = driver.addresses.entries[0]
    job_id = driver.submit(entry)
    _wait_until(lambda: driver.count_results(job_id) > 0)
    killed_ms = time.time() * 1000
    driver.entry_process(2).signal(signal.SIGKILL)
    _wait_until(lambda: len(_takeover_times(folder, killed_ms)) > 0)
    time.sleep(CALL_RATE_WINDOW_S)
    takeovers = _takeover_times(folder, killed_ms)
    driver.cancel(entry, job_id)
    return round(min(takeovers) - killed_ms), round(max(takeovers) - killed_ms), len(takeovers)


def _takeover_times(folder: Path, since_ms: float) -> list[float]:
    """Return when shards of the crashed instance were taken over, from the instance logs."""
    times: list[float] = []
    for path in folder.glob("entry-*.err"):
        for line in path.read_text().splitlines():
            if f'"event":{SHARD_TAKEN_EVENT},' not in line:
                continue
            event = json.loads(line)
            if event["lossy"] and event["at_ms"] > since_ms:
                times.append(event["at_ms"])
    return times


def _wait_until(condition: Any) -> None:
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError("timed out waiting for the fleet; its logs are in out/batch-faults")
        time.sleep(POLL_S)


def _put_profile(operator: str) -> None:
    body = {"profile": PROFILE, "based_on": 0, "reason": "measure", "change_id": "measure-1"}
    _send_request("PUT", f"{operator}/v1/profiles/notes", _to_json(body))


def _input_lines() -> bytes:
    rows = (
        {
            "custom_id": f"note-{n}",
            "method": "POST",
            "url": "/v1/completions",
            "body": {"model": "lm", "prompt": f"note {n} of the yard", "max_tokens": TOKENS},
        }
        for n in range(ITEMS)
    )
    return b"".join(_to_json(row) + b"\n" for row in rows)


def _to_json(value: Any) -> bytes:
    return json.dumps(value).encode()


def _send_request(
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
