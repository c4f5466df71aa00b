"""Read the resource usage of one instance: processor time, memory, bytes and calls."""

import time
import urllib.request
from typing import Final, NamedTuple

from prometheus_client.parser import text_string_to_metric_families

from misc.processes import Process, ProcessGroup

CALL_TIMEOUT_S: Final = 10.0
SETTLE_S: Final = 6.0


class Reading(NamedTuple):
    """Hold the counters of one instance at one time."""

    at_s: float
    cpu_s: float
    rss_mb: float
    peer_sent: float
    peer_received: float
    peer_frames: float
    store_out: float
    store_in: float
    calls: dict[str, float]


class Usage(NamedTuple):
    """Hold the usage of one instance over an interval; rss_mb is the value at its end."""

    seconds: float
    cpu_s: float
    rss_mb: float
    peer_bytes: float
    peer_frames: float
    store_bytes: float
    calls: dict[str, float]

    def core_share(self) -> float:
        """Return the share of one processor core that was used."""
        return self.cpu_s / self.seconds

    def per_second(self, amount: float) -> float:
        """Return an amount of the interval as a rate per second."""
        return amount / self.seconds


def read_counters(group: ProcessGroup, process: Process, entry: str) -> Reading:
    """Read the counters of an instance."""
    group.sample()
    with urllib.request.urlopen(f"http://{entry}/metrics", timeout=CALL_TIMEOUT_S) as response:
        text = response.read().decode()
    sums: dict[str, float] = {}
    calls: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            direction = sample.labels.get("direction", "")
            key = f"{sample.name} {direction}".strip()
            sums[key] = sums.get(key, 0.0) + sample.value
            if sample.name == "papayapier_store_calls_total":
                name = sample.labels["call"]
                calls[name] = calls.get(name, 0.0) + sample.value
    last = process.samples[-1]
    return Reading(
        at_s=time.monotonic(),
        cpu_s=last.cpu_s,
        rss_mb=last.rss_mb,
        peer_sent=sums.get("papayapier_peer_bytes_total sent", 0.0),
        peer_received=sums.get("papayapier_peer_bytes_total received", 0.0),
        peer_frames=sums.get("papayapier_peer_messages_total sent", 0.0)
        + sums.get("papayapier_peer_messages_total received", 0.0),
        store_out=sums.get("papayapier_store_bytes_total out", 0.0),
        store_in=sums.get("papayapier_store_bytes_total in", 0.0),
        calls=calls,
    )


def usage_between(before: Reading, after: Reading) -> Usage:
    """Return the usage between two readings."""
    calls = {name: count - before.calls.get(name, 0.0) for name, count in after.calls.items()}
    return Usage(
        seconds=after.at_s - before.at_s,
        cpu_s=after.cpu_s - before.cpu_s,
        rss_mb=after.rss_mb,
        peer_bytes=after.peer_sent + after.peer_received - before.peer_sent - before.peer_received,
        peer_frames=after.peer_frames - before.peer_frames,
        store_bytes=after.store_out + after.store_in - before.store_out - before.store_in,
        calls={name: count for name, count in calls.items() if count},
    )


def measure_idle(group: ProcessGroup, process: Process, entry: str, seconds: float) -> Usage:
    """Let an instance settle, then return its usage while it receives no requests."""
    time.sleep(SETTLE_S)
    before = read_counters(group, process, entry)
    time.sleep(seconds)
    return usage_between(before, read_counters(group, process, entry))
