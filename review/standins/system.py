"""Start the project's programs with the commands of the deploy file."""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path

from review.standins.http import call

ROOT = Path(__file__).resolve().parents[2]
# Ports that free_ports has returned.
_GIVEN = set()
BOUNDS = {"contactMs": 3000, "drainMs": 2000, "graceS": 8, "statusS": 120, "finishS": 18}


class CannotRun(Exception):
    """Say why a case cannot run."""


class Recorder:
    """Write record.txt, one line for each thing that was sent, answered, run or done."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._began = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()

    def since(self, at):
        """Return a moment of the monotonic clock in seconds since the start."""
        return at - self._began


def free_ports(count):
    """Return ports that are free now, below those that the kernel gives to outgoing channels."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as sock:
            if port in _GIVEN or sock.connect_ex(("127.0.0.1", port)) == 0:
                continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _GIVEN.add(port)
        ports.append(port)
    return ports


class System:
    """Own the processes of the system and their temporary folder."""

    def __init__(self, record, store_address, disk_losses=1):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._run = {role: entry["run"] for role, entry in deploy["roles"].items()}
        if not (ROOT / "target" / "deps" / "papayapier").is_dir():
            raise CannotRun("the build line of deploy/system.toml has not been run")
        self._record = record
        self._store = store_address
        self._disk_losses = disk_losses
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._commands = {}
        self.processes = {}
        self.callers = {}
        self.readiness = {}
        self.peer_ports = {}

    def add_entry(self, name):
        self.callers[name], self.readiness[name], peer = free_ports(3)
        listen = {
            "callers": f"127.0.0.1:{self.callers[name]}",
            "readiness": f"127.0.0.1:{self.readiness[name]}",
        }
        peers = {"sparse_heartbeat_ms": 1000, "picks": 3, "bytes_per_s": 12000}
        self._write(name, "entry", peer, peers, {"listen": listen}, listen["callers"], 300)

    def add_keeper(self, name, store_address=None):
        (peer,) = free_ports(1)
        disk = self._folder / f"{name}-disk"
        disk.mkdir()
        peers = {
            "heartbeat_ms": 200,
            "sparse_heartbeat_ms": 400,
            "hub_heartbeat_ms": 500,
            "bytes_per_s": 300000,
        }
        self._write(name, "keeper", peer, peers, {}, "", 340, str(disk), store_address)

    def _write(self, name, role, port, peers, more, callers, memory_mb, disk="", store=None):
        """Write the settings that deploy/settings.json gives for a small deployment."""
        self.peer_ports[name] = port
        host, store_port = store or self._store
        jobs = {"disk_losses": self._disk_losses, "keep_s": BOUNDS["statusS"]}
        if disk:
            jobs["folder"] = disk
        settings = {
            "instance": {"id": name, "data_centre": "z1", "region": "r1", "host": "127.0.0.1"},
            "store": {
                "address": f"{host}:{store_port}",
                "reads_per_s": 2000,
                "writes_per_s": 400,
            },
            "stop": {"within_s": BOUNDS["graceS"]},
            "jobs": jobs,
            "memory": {"machine_mb": memory_mb},
            "placing": {"queue": True},
            "peer": {"port": port, **peers, "early_calls": 1, "early_bytes_per_s": 80000},
            "upstream": {"connect_timeout_ms": 400, "first_byte_ms": 4000, "progress_ms": 1000},
            **more,
        }
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        command = self._run[role].replace("/etc/papayapier/node.json", str(path))
        self._commands[name] = command.replace("{{listen.front}}", callers).split(" ")

    async def start(self, name):
        keep = ("PATH", "HOME", "LANG")
        env = {key: os.environ[key] for key in keep if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self._folder / f"{name}.log").open("ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            *self._commands[name], cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()
        self._record(f"started {name}")

    async def start_all(self):
        for name in self._commands:
            await self.start(name)
        for name, port in self.readiness.items():
            for _ in range(200):
                if (await call(("127.0.0.1", port), "GET", "/v1/readiness")).status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun(f"{name} did not become ready: {self.log(name)[-600:]}")
        # The keepers have started too when they have written down where they are.
        await asyncio.sleep(2)

    def kill(self, name, number=signal.SIGKILL):
        self.processes[name].send_signal(number)

    def log(self, name):
        return (self._folder / f"{name}.log").read_text(errors="replace")

    async def close(self):
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            shutil.copytree(self._folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)


def troubled():
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, play):
    """Run a case: exit with 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    record = Recorder(folder)
    record(f"disruption: {'yes' if troubled() else 'no (TROUBLE=0)'}")

    async def limited():
        # Channels that are cut in the middle of an answer are expected.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, _context: None)
        # The processes are ended on SIGTERM, too.
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        async with asyncio.timeout(112):
            return await play(record)

    try:
        broken = asyncio.run(limited())
    except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as exc:
        record(f"could not run: {type(exc).__name__} {exc}")
        return 2
    record("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
