"""Parse an experiment file, which defines requests, rates, batch jobs and faults.

An experiment is JSON with comments. Its phases run one after the other in one run, so that
phases are compared on the same processes; rounds repeats the whole sequence, so that gradual
changes of the machine affect all phases equally.
"""

from pathlib import Path
from typing import Annotated, Any, Final, Literal, NamedTuple

from msgspec import Meta
from result import Err, Ok, Result

from papayapier import codec
from papayapier.config.profiles import Name, Profile, Share

Ms = Annotated[int, Meta(ge=0, le=86_400_000)]
PositiveMs = Annotated[int, Meta(ge=1, le=86_400_000)]
Rate = Annotated[float, Meta(ge=0.0, le=100_000.0)]
Factor = Annotated[float, Meta(gt=0.0, le=1_000.0)]
Count = Annotated[int, Meta(ge=0, le=10_000_000)]
Positive = Annotated[int, Meta(ge=1, le=10_000_000)]

PLATFORM: Final = "platform"


class Lengths(NamedTuple):
    """Describe a length distribution: log-normal around a median, clamped to min and max."""

    median: Positive
    sigma: Annotated[float, Meta(ge=0.0, le=3.0)] = 0.0
    min: Positive = 1
    max: Positive = 4_096


class Callers(NamedTuple):
    """Describe the callers; the first sends heavy_share of the requests, the others the rest."""

    number: Positive = 1
    heavy_share: Share = 0.0


class Misuse(NamedTuple):
    """Describe how often callers resend a request with the same key, or disconnect early."""

    resend_share: Share = 0.0
    resend_after_ms: Ms = 0
    leave_share: Share = 0.0
    leave_after_ms: Ms = 0


class RequestClass(NamedTuple):
    """Describe one class of online requests; weight is its relative share of arrivals.

    A "chat" class posts to /v1/chat/completions, a "service" class posts body_bytes to
    path. keyed gives each request an idempotency key of its own.
    """

    name: Name
    kind: Literal["chat", "service"]
    profile: str
    weight: Factor = 1.0
    model: str = ""
    path: str = ""
    body_bytes: Positive = 200
    prompt_words: Lengths = Lengths(median=50)
    prefix_words: Count = 0
    max_tokens: Lengths = Lengths(median=20)
    stream: bool = False
    idempotent: bool = True
    keyed: bool = False
    due_ms: Ms = 0
    callers: Callers = Callers()
    misuse: Misuse = Misuse()


class Step(NamedTuple):
    """Set the arrival rate from a time in the phase on."""

    at_ms: Ms
    rate_per_s: Rate


class Burst(NamedTuple):
    """Multiply the arrival rate for some time."""

    at_ms: Ms
    ms: PositiveMs
    factor: Factor


class Job(NamedTuple):
    """Describe a batch job of similar items; due_ms 0 leaves the due time to the profile."""

    name: Name
    profile: str
    items: Positive
    model: str = ""
    prompt_words: Lengths = Lengths(median=50)
    max_tokens: Lengths = Lengths(median=50)
    due_ms: Ms = 0


class Fault(NamedTuple):
    """Set switches of a stand-in (a replica's id, or "platform") at a time in the phase."""

    at_ms: Ms
    target: str
    control: dict[str, Any]


class Phase(NamedTuple):
    """Describe one phase of the run; requests of its first settle_ms are not counted."""

    name: str
    ms: PositiveMs
    rate_per_s: Rate
    settle_ms: Ms = 2_000
    steps: tuple[Step, ...] = ()
    bursts: tuple[Burst, ...] = ()
    jobs: tuple[str, ...] = ()
    profiles: tuple[Profile, ...] = ()
    faults: tuple[Fault, ...] = ()


class Compare(NamedTuple):
    """Name the reference phases of the comparison; without a name there is no comparison.

    online has the online load without batch. batch has the same online load and the most
    batch work that the engines can process with it.
    """

    online: str = ""
    batch: str = ""


class Experiment(NamedTuple):
    """Hold one experiment; a request without an answer after give_up_ms counts as timed out.

    idle_connections are opened to the instances round robin and kept open without requests.
    """

    name: Name
    classes: tuple[RequestClass, ...]
    phases: tuple[Phase, ...]
    description: str = ""
    seed: int = 1
    rounds: Positive = 1
    give_up_ms: PositiveMs = 30_000
    fresh_connections: bool = False
    idle_connections: Count = 0
    profiles: tuple[Profile, ...] = ()
    jobs: tuple[Job, ...] = ()
    compare: Compare = Compare()


def load_experiment(path: Path) -> Result[Experiment, str]:
    """Read and validate an experiment file; the error names file, field and reason."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Err(f"{path}: cannot be read: {exc}")
    return parse(text).map_err(lambda error: f"{path}: {error}")


def parse(text: str) -> Result[Experiment, str]:
    """Decode and validate an experiment; the error starts with the invalid field."""
    return codec.from_commented_json(text, Experiment).and_then(_check)


def _check(exp: Experiment) -> Result[Experiment, str]:
    """Check constraints that involve several fields."""
    for error in (_class_error(exp), _phase_error(exp)):
        if error:
            return Err(error)
    return Ok(exp)


def _class_error(exp: Experiment) -> str:
    if not exp.classes:
        return "classes: at least one class is required"
    for index, cls in enumerate(exp.classes):
        if cls.kind == "service" and not cls.path.startswith("/"):
            return f"classes[{index}].path: a service class needs a path that starts with a slash"
        if cls.misuse.resend_share and not cls.keyed:
            return f"classes[{index}].misuse.resend_share: only keyed requests can be resent"
    return _duplicate_name_error("classes", [cls.name for cls in exp.classes])


def _phase_error(exp: Experiment) -> str:
    if not exp.phases:
        return "phases: at least one phase is required"
    known = {job.name for job in exp.jobs}
    for index, phase in enumerate(exp.phases):
        if phase.settle_ms >= phase.ms:
            return f"phases[{index}].settle_ms: must be shorter than the phase"
        if missing := sorted(set(phase.jobs) - known):
            return f"phases[{index}].jobs: no job has the name {missing[0]!r}"
    names = [phase.name for phase in exp.phases]
    for field, name in exp.compare._asdict().items():
        if name and name not in names:
            return f"compare.{field}: no phase has the name {name!r}"
    return _duplicate_name_error("phases", names)


def _duplicate_name_error(field: str, names: list[str]) -> str:
    duplicates = sorted({name for name in names if names.count(name) > 1})
    return f"{field}: the name {duplicates[0]!r} is used twice" if duplicates else ""
