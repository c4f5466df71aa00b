"""Read switches, and hold those that engines and plain services share."""

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
    """Hold the keys of POST /control; restart_ms starts a crashed stand-in again."""

    mode: Mode
    slow_factor: float
    times: int
    restart_ms: int


class Switches:
    """Keep the switches and tell which mode applies to the next request."""

    __slots__ = ("mode", "slow_factor", "times")

    def __init__(self) -> None:
        self.mode = Mode.OK
        self.slow_factor = 1.0
        self.times = 0

    def merge(self, control: Control) -> None:
        """Take over the keys that are given."""
        if "mode" in control:
            self.mode = control["mode"]
            self.times = 0
        self.slow_factor = control.get("slow_factor", self.slow_factor)
        self.times = control.get("times", self.times)

    def take(self) -> Mode:
        """Return the mode for one request, and count it down."""
        mode = self.mode
        if self.times > 0:
            self.times -= 1
            if self.times == 0:
                self.mode = Mode.OK
        return mode

    def hangs_always(self) -> bool:
        """Tell whether calls other than control and counts hang too."""
        return self.mode is Mode.HANG and self.times == 0

    def reset(self) -> None:
        """Go back to normal, as after a restart."""
        self.mode = Mode.OK
        self.times = 0

    def show(self) -> dict[str, object]:
        """Return the switches as GET /control shows them."""
        return {"mode": self.mode.value, "slow_factor": self.slow_factor, "times": self.times}


def read_control(body: bytes) -> Result[Control, str]:
    """Decode and check the body of POST /control of an engine or service."""
    read = read_switches(body, Control)
    if isinstance(read, Err):
        return read
    control = read.ok_value
    if control.get("slow_factor", 1.0) <= 0:
        return Err("slow_factor must be above 0")
    if min(control.get("times", 0), control.get("restart_ms", 0)) < 0:
        return Err("times and restart_ms must not be negative")
    return Ok(control)


def read_switches(body: bytes, kind: type[T]) -> Result[T, str]:
    """Decode switches, and refuse a key that is none.

    A misspelt switch would otherwise do nothing, and a test of a fault would pass because
    the fault never happened.
    """
    try:
        unknown = msgspec.json.decode(body, type=dict[str, Any]).keys() - kind.__annotations__
        if unknown:
            return Err(f"no such switch: {', '.join(sorted(unknown))}")
        return Ok(msgspec.json.decode(body, type=kind))
    except msgspec.MsgspecError as exc:
        return Err(str(exc))
