"""Start, sample and reliably stop the processes of a measured fleet."""

import os
import signal
import subprocess
import time
from pathlib import Path
from typing import Final, NamedTuple

MAX_PROCESSES: Final = 48
MAX_MEMORY_SHARE: Final = 0.5
STOP_TIMEOUT_S: Final = 20.0
KILL_TIMEOUT_S: Final = 5.0
TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
PAGE_BYTES: Final = os.sysconf("SC_PAGE_SIZE")


class Sample(NamedTuple):
    """Hold the processor time and resident memory of one process at a wall-clock time."""

    wall_ms: int
    cpu_s: float
    rss_mb: float


class Process:
    """Own one child process and its samples."""

    def __init__(self, name: str, role: str, command: list[str], folder: Path) -> None:
        self.name = name
        self.role = role
        self.samples: list[Sample] = []
        self.stderr_path = folder / f"{name}.err"
        with self.stderr_path.open("wb") as stderr_file:
            self._popen = subprocess.Popen(
                command, stdout=subprocess.PIPE, stderr=stderr_file, start_new_session=True
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    def read_first_line(self) -> bytes:
        """Return the first line that the process prints, empty if it ended without printing one."""
        assert self._popen.stdout is not None
        return self._popen.stdout.readline()

    def read_rest(self) -> bytes:
        """Return the rest of the standard output; blocks until the process closes it."""
        assert self._popen.stdout is not None
        return self._popen.stdout.read()

    def has_ended(self) -> bool:
        """Tell whether the process has ended."""
        return self._popen.poll() is not None

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if not self.has_ended():
            self._popen.send_signal(number)

    def wait(self, timeout_s: float) -> int | None:
        """Wait for the process to end; return its exit code, or None after the timeout."""
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def sample(self) -> None:
        """Read processor time and memory from /proc."""
        try:
            stat = Path(f"/proc/{self.pid}/stat").read_text()
            pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return
        # The command name may contain spaces, so split only what follows its parentheses.
        fields = stat.rpartition(")")[2].split()
        cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
        self.samples.append(Sample(int(time.time() * 1000), cpu_s, pages * PAGE_BYTES / 1e6))

    def cpu_at(self, wall_ms: int) -> float:
        """Return the processor time used up to a wall-clock time, interpolated between samples."""
        before = [sample for sample in self.samples if sample.wall_ms <= wall_ms]
        after = [sample for sample in self.samples if sample.wall_ms > wall_ms]
        if not before:
            return after[0].cpu_s if after else 0.0
        if not after:
            return before[-1].cpu_s
        low, high = before[-1], after[0]
        fraction = (wall_ms - low.wall_ms) / (high.wall_ms - low.wall_ms)
        return low.cpu_s + fraction * (high.cpu_s - low.cpu_s)


class ProcessGroup:
    """Own all processes of a fleet; leaving the context stops all of them."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.processes: list[Process] = []

    def __enter__(self) -> "ProcessGroup":
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self, name: str, role: str, command: list[str]) -> Process:
        """Start a process."""
        if len(self.processes) >= MAX_PROCESSES:
            raise RuntimeError(f"the fleet needs more than {MAX_PROCESSES} processes")
        process = Process(name, role, command, self._folder)
        self.processes.append(process)
        return process

    def sample(self) -> None:
        """Sample every process; raise if the fleet uses over half of the machine's memory."""
        for process in self.processes:
            process.sample()
        total_mb = sum(member.samples[-1].rss_mb for member in self.processes if member.samples)
        max_mb = MAX_MEMORY_SHARE * _machine_memory_mb()
        if total_mb > max_mb:
            raise RuntimeError(f"the fleet uses {total_mb:.0f} MB; limit in MB: {max_mb:.0f}")

    def stop(self) -> None:
        """Stop instances before their stand-ins (last started first); kill what does not end."""
        for process in reversed(self.processes):
            process.signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in reversed(self.processes):
            process.wait(max(0.1, deadline - time.monotonic()))
        for process in self.processes:
            process.signal(signal.SIGKILL)
            process.wait(KILL_TIMEOUT_S)


def _machine_memory_mb() -> float:
    return PAGE_BYTES * os.sysconf("SC_PHYS_PAGES") / 1e6
