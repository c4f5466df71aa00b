"""Reach the stand-ins: list them, set their switches, read what they count."""

from typing import Any, NamedTuple

from result import Err, Ok, Result

from papayapier.load.calls import call_json
from papayapier.load.scenario import PLATFORM
from papayapier.store.api import REPLICA


class StandIns(NamedTuple):
    """Hold the addresses ("HOST:PORT") of the platform and of replicas by id."""

    platform: str
    replicas: dict[str, str]

    def address(self, target: str) -> str | None:
        """Return where a fault's target listens."""
        return self.platform if target == PLATFORM else self.replicas.get(target)


class Ran(NamedTuple):
    """Hold how often each call was started, over all replicas, and the tokens generated."""

    started: dict[str, int]
    tokens: int


async def find_standins(platform: str) -> Result[StandIns, str]:
    """Read the replicas' addresses from the platform's instance list."""
    got = await call_json("GET", f"http://{platform}/instances?wait_ms=0&since=0")
    if isinstance(got, Err):
        return got
    listed: list[dict[str, Any]] = got.ok_value["instances"]
    replicas = {
        str(member["id"]): f"{member['host']}:{member['port']}"
        for member in listed
        if member["kind"] == REPLICA
    }
    return Ok(StandIns(platform, replicas))


async def set_switches(address: str, control: dict[str, Any]) -> Result[Any, str]:
    """Set switches of one stand-in."""
    return await call_json("POST", f"http://{address}/control", control)


async def read_ran(standins: StandIns) -> Result[Ran, str]:
    """Add up the counts of every replica, engines and services alike."""
    started: dict[str, int] = {}
    tokens = 0
    for address in standins.replicas.values():
        got = await call_json("GET", f"http://{address}/counts")
        if isinstance(got, Err):
            return got
        counts: dict[str, Any] = got.ok_value
        for call_id, times in counts.get("started", counts.get("calls", {})).items():
            started[call_id] = started.get(call_id, 0) + times
        tokens += counts.get("tokens", 0)
    return Ok(Ran(started, tokens))
