"""Hold the processes, requests and jobs of one running case."""

import os
import random
import tempfile
from pathlib import Path
from signal import Signals
from typing import Any, Final, TypeVar

import msgspec
from result import Err
from twisted.internet.defer import DeferredList

from papayapier.clock import Clock, real_clock
from papayapier.load.calls import call, call_json
from papayapier.load.client import Client, make_client
from papayapier.standin.answers import expected_text
from tests.scenario.jobs import Job
from tests.scenario.processes import Child, start
from tests.scenario.requests import Group
from tests.scenario.steps import DefineProfile

T = TypeVar("T")

HOST: Final = "127.0.0.1"
DATA_CENTRES: Final = ("dc-a", "dc-b", "dc-c")
GIVE_UP_MS: Final = 120_000
BROKEN_EVENT: Final = 901

# How much longer a limit of a case may take on a busy machine. A verdict must not depend on
# speed, so this only decides how long a failing case takes to fail.
SCALE: Final = float(os.environ.get("PAPAYAPIER_SCENARIO_SCALE", "6"))


class WrongCaseError(Exception):
    """Report a step that cannot be carried out or a condition that did not come true."""


class Instance:
    """Hold one entry instance: its settings, its process and its ports."""

    def __init__(self, name: str, settings: dict[str, Any], file: Path) -> None:
        self.name = name
        self.settings = settings
        self.file = file
        self.child: Child | None = None
        self.paused = False
        self.may_end = False

    def running(self) -> bool:
        """Tell whether the instance can be expected to answer."""
        return self.child is not None and self.child.exit_code is None and not self.paused

    def address(self, surface: str = "entry") -> str:
        """Return HOST:PORT of one of its surfaces."""
        return f"{HOST}:{self.settings[surface]['port']}"


class World:
    """Own everything that a case starts."""

    def __init__(self, case_id: str) -> None:
        self.case_id = case_id
        self.clock: Clock = real_clock()
        self.rand = random.Random(case_id)
        self.folder = tempfile.TemporaryDirectory()
        self.client: Client = make_client(
            self.clock, expected_text, GIVE_UP_MS, fresh_connections=True
        )
        self.platform = ""
        self.children: list[Child] = []
        self.replicas: dict[str, dict[str, Any]] = {}
        self.engines: set[str] = set()
        self.instances: dict[str, Instance] = {}
        self.profiles: dict[str, DefineProfile] = {}
        self.groups: dict[str, Group] = {}
        self.jobs: dict[str, Job] = {}
        self.marks: dict[str, int] = {}
        self.race: list[bool] = []
        self.transcript: list[str] = []

    async def spawn(self, name: str, *arguments: str) -> Child:
        """Start a process that belongs to the case."""
        child = start(name, *arguments)
        self.children.append(child)
        return child

    def instance(self, name: str) -> Instance:
        """Return an instance by name."""
        return _known(self.instances, name, "instance")

    def replica_address(self, name: str) -> str:
        """Return HOST:PORT of a replica."""
        replica = _known(self.replicas, name, "replica")
        return f"{replica['host']}:{replica['port']}"

    def group(self, label: str) -> Group:
        """Return a group of requests by label."""
        return _known(self.groups, label, "group of requests")

    def job(self, name: str) -> Job:
        """Return a job by name."""
        return _known(self.jobs, name, "job")

    def profile(self, name: str) -> DefineProfile:
        """Return a profile as the case defined it."""
        return _known(self.profiles, name, "profile")

    def any_running(self) -> Instance:
        """Return the first instance that can be expected to answer."""
        found = next((one for one in self.instances.values() if one.running()), None)
        if found is None:
            raise WrongCaseError("no instance is running")
        return found

    def replicas_of(self, name: str) -> list[str]:
        """Return the replicas of an upstream, or the one replica of that name."""
        found = [i for i, replica in self.replicas.items() if name in (i, replica["upstream"])]
        if not found:
            raise WrongCaseError(f"nothing is named {name}")
        return found

    def new_instance(self, name: str) -> Instance:
        """Write the settings of a new instance."""
        host, _, port = self.platform.rpartition(":")
        settings: dict[str, Any] = {
            "instance": {
                "id": name,
                "data_centre": DATA_CENTRES[len(self.instances) % len(DATA_CENTRES)],
                "region": "local",
            },
            "platform": {"host": host, "port": int(port)},
            "entry": {"port": 0},
            "operator": {"port": 0},
            "peer": {"port": 0},
            "batch": {"shards": 8, "lease_ms": 3_000, "renew_ms": 1_000, "chunk_items": 50},
            "drain": {"balancer_lag_ms": 300},
        }
        instance = Instance(name, settings, Path(self.folder.name) / f"{name}.json")
        self.instances[name] = instance
        return instance

    async def counts(self, name: str) -> list[dict[str, Any]]:
        """Read the counts of an upstream's stand-ins."""
        found = []
        for replica in self.replicas_of(name):
            found.append(await read_json(f"http://{self.replica_address(replica)}/counts"))
        return found

    async def calls_at(self, name: str) -> dict[str, int]:
        """Return how often each call was started at an upstream, over all its replicas."""
        total: dict[str, int] = {}
        for counts in await self.counts(name):
            for call_id, times in counts.get("started", counts.get("calls", {})).items():
                total[call_id] = total.get(call_id, 0) + times
        return total

    def trouble(self) -> list[str]:
        """Return broken promises, and processes that ended without being told to."""
        found = []
        for instance in self.instances.values():
            child = instance.child
            if child is None:
                continue
            if child.logged(BROKEN_EVENT):
                found.append(f"instance {instance.name} logged a broken promise")
            if child.exit_code is not None and not instance.may_end:
                found.append(f"instance {instance.name} ended with {child.exit_code}")
        return found

    async def close(self) -> None:
        """End every process of the case."""
        for child in self.children:
            child.signal(Signals.SIGKILL)
        await DeferredList([child.ended for child in self.children])
        await self.client.close()
        self.folder.cleanup()


async def read_json(url: str) -> Any:
    """Read a document, or fail the case."""
    got = await call_json("GET", url)
    if isinstance(got, Err):
        raise WrongCaseError(got.err_value)
    return got.ok_value


async def read_metric(address: str, name: str, label: str = "") -> float:
    """Read one sample of an instance's metrics; label is a part of its text."""
    got = await call("GET", f"http://{address}/metrics")
    if isinstance(got, Err):
        raise WrongCaseError(got.err_value)
    for line in got.ok_value.decode().splitlines():
        sample, _, value = line.rpartition(" ")
        if sample.partition("{")[0] == name and label in sample:
            return float(value)
    return 0.0


def write_settings(instance: Instance) -> None:
    """Write an instance's settings file."""
    instance.file.write_bytes(msgspec.json.encode(instance.settings))


def _known(table: dict[str, T], name: str, what: str) -> T:
    if name not in table:
        raise WrongCaseError(f"no {what} is named {name}")
    return table[name]
