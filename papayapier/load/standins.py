"""Access the stand-ins: list them, set their switches, read their counters."""

from collections import Counter
from typing import Any, NamedTuple

from result import Err, Ok, Result

from papayapier.load.experiment_file import PLATFORM
from papayapier.load.http_calls import http_call_json
from papayapier.store.api import REPLICA


class StandInReplica(NamedTuple):
    """Hold the upstream and the address ("HOST:PORT") of one replica."""

    upstream: str
    address: str


class StandIns(NamedTuple):
    """Hold the address ("HOST:PORT") of the platform, and the replicas by id."""

    platform: str
    replicas: dict[str, StandInReplica]

    def address(self, target: str) -> str | None:
        """Return the address of a fault's target."""
        if target == PLATFORM:
            return self.platform
        replica = self.replicas.get(target)
        return replica.address if replica is not None else None


class RunCounts(NamedTuple):
    """Hold the number of starts of each call, by upstream, and the tokens generated."""

    by_upstream: dict[str, dict[str, int]]
    tokens: int

    @property
    def started(self) -> dict[str, int]:
        """Return the number of starts of each call at all upstreams."""
        total: Counter[str] = Counter()
        for calls in self.by_upstream.values():
            total.update(calls)
        return total


async def find_standins(platform: str) -> Result[StandIns, str]:
    """Read the replicas' addresses from the platform's instance list."""
    response = await http_call_json("GET", f"http://{platform}/instances?wait_ms=0&since=0")
    if isinstance(response, Err):
        return response
    listed: list[dict[str, Any]] = response.ok_value["instances"]
    replicas = {
        str(member["id"]): StandInReplica(member["upstream"], f"{member['host']}:{member['port']}")
        for member in listed
        if member["kind"] == REPLICA
    }
    return Ok(StandIns(platform, replicas))


async def set_switches(address: str, control: dict[str, Any]) -> Result[Any, str]:
    """Set switches of one stand-in."""
    return await http_call_json("POST", f"http://{address}/control", control)


async def read_run_counts(standins: StandIns) -> Result[RunCounts, str]:
    """Sum the counters of all replicas, engines and services."""
    by_upstream: dict[str, Counter[str]] = {}
    tokens = 0
    for upstream, address in standins.replicas.values():
        response = await http_call_json("GET", f"http://{address}/counts")
        if isinstance(response, Err):
            return response
        counts: dict[str, Any] = response.ok_value
        calls = counts.get("started", counts.get("calls", {}))
        by_upstream.setdefault(upstream, Counter()).update(calls)
        tokens += counts.get("tokens", 0)
    return Ok(RunCounts(dict(by_upstream), tokens))
