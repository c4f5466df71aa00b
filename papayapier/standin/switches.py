"""Parse fault switches, and hold those that engines and plain services share."""

from enum import Enum
from typing import Any, Final, TypedDict, TypeVar

import msgspec
from result import Err, Ok, Result

T = TypeVar("T")

LATE_FACTOR: Final = 3


class Mode(Enum):
    """Name each way a stand-in can misbehave."""

    OK = "ok"
    HANG = "hang"
    CRASH = "crash"
    SILENT = "silent"
    CROSSED = "crossed"
    LATE = "late"
    TRUNCATE = "truncate"
    RESET = "reset"


class Control(TypedDict, total=False):
    """Hold the keys of POST /control; restart_ms restarts a crashed stand-in after that time."""

    mode: Mode
    slow_factor: float
    times: int
    restart_ms: int


class Switches:
    """Hold the switches and select the mode of the next request."""

    __slots__ = ("mode", "slow_factor", "times")

    def __init__(self) -> None:
        self.mode = Mode.OK
        self.slow_factor = 1.0
        self.times = 0

    def merge(self, control: Control) -> None:
        """Set the switches that are given, and keep the others."""
        if "mode" in control:
            self.mode = control["mode"]
            self.times = 0
        self.slow_factor = control.get("slow_factor", self.slow_factor)
        self.times = control.get("times", self.times)

    def next_mode(self) -> Mode:
        """Return the mode for one request, and decrement the number of times it still applies."""
        mode = self.mode
        if self.times > 0:
            self.times -= 1
            if self.times == 0:
                self.mode = Mode.OK
        return mode

    def hangs_all_calls(self) -> bool:
        """Return whether all calls except /control and /counts hang."""
        return self.mode is Mode.HANG and self.times == 0

    def reset(self) -> None:
        """Restore the normal mode, as after a restart."""
        self.mode = Mode.OK
        self.times = 0

    def as_dict(self) -> dict[str, object]:
        """Return the switches as sent by GET /control."""
        return {"mode": self.mode.value, "slow_factor": self.slow_factor, "times": self.times}


def parse_control(body: bytes) -> Result[Control, str]:
    """Decode and validate the body of POST /control of an engine or service."""
    read = parse_switches(body, Control)
    if isinstance(read, Err):
        return read
    control = read.ok_value
    if control.get("slow_factor", 1.0) <= 0:
        return Err("slow_factor must be above 0")
    if min(control.get("times", 0), control.get("restart_ms", 0)) < 0:
        return Err("times and restart_ms must not be negative")
    return Ok(control)


def parse_switches(body: bytes, kind: type[T]) -> Result[T, str]:
    """Decode switches, and refuse unknown keys.

    Otherwise a misspelt switch would have no effect, and a test of a fault would pass because
    the fault never happened.
    """
    try:
        unknown = msgspec.json.decode(body, type=dict[str, Any]).keys() - kind.__annotations__
        if unknown:
            return Err(f"no such switch: {', '.join(sorted(unknown))}")
        return Ok(msgspec.json.decode(body, type=kind))
    except msgspec.MsgspecError as exc:
        return Err(str(exc))
