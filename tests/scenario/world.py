"""Own the processes, requests and jobs of one running case."""

import os
import random
import tempfile
from pathlib import Path
from signal import Signals
from typing import Any, Final, TypeVar

import msgspec
from result import Err
from twisted.internet.defer import DeferredList

from misc.ports import PortReservations
from papayapier.clock import Clock, real_clock
from papayapier.load.client import Client, make_client
from papayapier.load.http_calls import http_call, http_call_json
from papayapier.standin.answers import expected_text
from tests.scenario.jobs import Job
from tests.scenario.processes import ChildProcess, start_process
from tests.scenario.requests import RequestGroup
from tests.scenario.steps import DefineProfile

T = TypeVar("T")

HOST: Final = "127.0.0.1"
DATA_CENTRES: Final = ("dc-a", "dc-b", "dc-c")
REQUEST_TIMEOUT_MS: Final = 120_000
INVARIANT_BROKEN_EVENT: Final = 901

# Factor by which the time limits of a case are extended for a busy machine. Results must not depend
# on speed, so it only determines how long a failing case takes to fail.
LIMIT_SCALE: Final = float(os.environ.get("PAPAYAPIER_SCENARIO_SCALE", "6"))


class CaseError(Exception):
    """Raised for a step that cannot be carried out or a condition that does not hold in time."""


class Instance:
    """Hold one entry instance: its settings with its ports, and its process."""

    def __init__(self, name: str, settings: dict[str, Any], file: Path) -> None:
        self.name = name
        self.settings = settings
        self.file = file
        self.child: ChildProcess | None = None
        self.paused = False
        self.may_exit = False

    def is_running(self) -> bool:
        """Tell whether the process runs and is not paused."""
        return self.child is not None and self.child.exit_code is None and not self.paused

    def address(self, listener: str = "entry") -> str:
        """Return HOST:PORT of its entry, operator or peer listener."""
        return f"{HOST}:{self.settings[listener]['port']}"


class World:
    """Own everything that a case starts, and the state that its steps share."""

    def __init__(self, case_id: str) -> None:
        self.case_id = case_id
        self.clock: Clock = real_clock()
        self.rand = random.Random(case_id)
        self.folder = tempfile.TemporaryDirectory()
        self._ports = PortReservations(HOST)
        self.client: Client = make_client(
            self.clock, expected_text, REQUEST_TIMEOUT_MS, fresh_connections=True
        )
        self.platform = ""
        self.children: list[ChildProcess] = []
        self.replicas: dict[str, dict[str, Any]] = {}
        self.engines: set[str] = set()
        self.instances: dict[str, Instance] = {}
        self.profiles: dict[str, DefineProfile] = {}
        self.groups: dict[str, RequestGroup] = {}
        self.jobs: dict[str, Job] = {}
        self.marks: dict[str, int] = {}
        self.race_accepted: list[bool] = []
        self.transcript: list[str] = []

    async def spawn(self, name: str, *arguments: str) -> ChildProcess:
        """Start a process that ends with the case."""
        child = start_process(name, *arguments)
        self.children.append(child)
        return child

    def instance(self, name: str) -> Instance:
        """Return an instance by name."""
        return _lookup(self.instances, name, "instance")

    def replica_address(self, name: str) -> str:
        """Return HOST:PORT of a replica."""
        replica = _lookup(self.replicas, name, "replica")
        return f"{replica['host']}:{replica['port']}"

    def group(self, label: str) -> RequestGroup:
        """Return a group of requests by label."""
        return _lookup(self.groups, label, "group of requests")

    def job(self, name: str) -> Job:
        """Return a job by name."""
        return _lookup(self.jobs, name, "job")

    def profile(self, name: str) -> DefineProfile:
        """Return a profile as the case defined it."""
        return _lookup(self.profiles, name, "profile")

    def any_running(self) -> Instance:
        """Return the first instance that runs and is not paused."""
        found = next(
            (instance for instance in self.instances.values() if instance.is_running()), None
        )
        if found is None:
            raise CaseError("no instance is running")
        return found

    def replicas_of(self, name: str) -> list[str]:
        """Return the replicas of an upstream, or the one replica of that name."""
        found = [
            replica_id
            for replica_id, replica in self.replicas.items()
            if name in (replica_id, replica["upstream"])
        ]
        if not found:
            raise CaseError(f"nothing is named {name}")
        return found

    def new_instance(self, name: str) -> Instance:
        """Create an instance with default settings; its settings file is not written yet."""
        host, _, port = self.platform.rpartition(":")
        settings: dict[str, Any] = {
            "instance": {
                "id": name,
                "data_centre": DATA_CENTRES[len(self.instances) % len(DATA_CENTRES)],
                "region": "local",
            },
            "platform": {"host": host, "port": int(port)},
            "entry": {"port": self._ports.reserve()},
            "operator": {"port": self._ports.reserve()},
            "peer": {"port": self._ports.reserve()},
            "batch": {"shards": 8, "lease_ms": 3_000, "renew_ms": 1_000, "chunk_items": 50},
            "drain": {"balancer_lag_ms": 300},
        }
        instance = Instance(name, settings, Path(self.folder.name) / f"{name}.json")
        self.instances[name] = instance
        return instance

    async def read_counts(self, name: str) -> list[dict[str, Any]]:
        """Read the counts of the replicas of an upstream, or of one replica."""
        found = []
        for replica in self.replicas_of(name):
            found.append(await read_json(f"http://{self.replica_address(replica)}/counts"))
        return found

    async def starts_by_call(self, name: str) -> dict[str, int]:
        """Return how often each call was started, by call id, over all replicas of an upstream."""
        total: dict[str, int] = {}
        for counts in await self.read_counts(name):
            for call_id, times in counts.get("started", counts.get("calls", {})).items():
                total[call_id] = total.get(call_id, 0) + times
        return total

    def find_failures(self) -> list[str]:
        """Return logged invariant violations and processes that ended unexpectedly."""
        found = []
        for instance in self.instances.values():
            child = instance.child
            if child is None:
                continue
            if child.logged_count(INVARIANT_BROKEN_EVENT):
                found.append(f"instance {instance.name} logged an invariant violation")
            if child.exit_code is not None and not instance.may_exit:
                found.append(f"instance {instance.name} ended with {child.exit_code}")
        return found

    async def close(self) -> None:
        """Kill every process of the case."""
        for child in self.children:
            child.send_signal(Signals.SIGKILL)
        await DeferredList([child.ended for child in self.children])
        await self.client.close()
        self._ports.close()
        self.folder.cleanup()


async def read_json(url: str) -> Any:
    """Read a JSON document; raise CaseError if that fails."""
    reply = await http_call_json("GET", url)
    if isinstance(reply, Err):
        raise CaseError(reply.err_value)
    return reply.ok_value


async def read_metric(address: str, name: str, label: str = "") -> float:
    """Read one sample of an instance's metrics, 0 if absent; label is part of its text."""
    reply = await http_call("GET", f"http://{address}/metrics")
    if isinstance(reply, Err):
        raise CaseError(reply.err_value)
    for line in reply.ok_value.decode().splitlines():
        sample, _, value = line.rpartition(" ")
        if sample.partition("{")[0] == name and label in sample:
            return float(value)
    return 0.0


def write_settings(instance: Instance) -> None:
    """Write an instance's settings file."""
    instance.file.write_bytes(msgspec.json.encode(instance.settings))


def _lookup(named: dict[str, T], name: str, kind: str) -> T:
    if name not in named:
        raise CaseError(f"no {kind} is named {name}")
    return named[name]
