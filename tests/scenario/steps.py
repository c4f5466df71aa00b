"""Define the steps of the scenario language, and the form of the line that states each."""

from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

from tests.scenario.forms import Form, match

DEFAULT_LIMIT_MS: Final = 20_000


class StartPlatform(NamedTuple):
    """Start the stand-in platform."""


class StartReplicas(NamedTuple):
    """Start stand-in replicas NAME-1, NAME-2, ... of an upstream."""

    kind: str
    number: int
    name: str


class StartInstance(NamedTuple):
    """Start or restart an entry instance and wait until it is ready; settings are kept."""

    name: str


class DefineProfile(NamedTuple):
    """Write a profile through the operator address of an instance."""

    name: str
    urgency: str
    due: int
    upstream: str
    idempotent: bool
    on: str = ""


class Race(NamedTuple):
    """Send two changes of a profile at once, both based on the same version."""

    name: str
    first: str
    first_due: int
    second: str
    second_due: int


class Send(NamedTuple):
    """Send online requests at once, in the background, as a group with a label."""

    number: int
    kind: str
    profile: str
    to: str
    key: str = ""
    label: str = "sent"


class SubmitJob(NamedTuple):
    """Submit a batch job; the key of an accepted job resubmits that job."""

    name: str
    number: int
    profile: str
    to: str
    key: str = ""


class CancelJob(NamedTuple):
    """Cancel a batch job through an instance."""

    name: str
    via: str


class Fail(NamedTuple):
    """Inject a fault into a replica; times 0 means until it is healed.

    A crashed replica restarts after restart_ms, or not at all if that is 0.
    """

    replica: str
    mode: str
    times: int = 0
    restart_ms: int = 0


class Slow(NamedTuple):
    """Slow a replica down by a factor."""

    replica: str
    factor: int


class Leave(NamedTuple):
    """Mark a replica as leaving in the instance list."""

    replica: str


class Platform(NamedTuple):
    """Set a fault switch of the stand-in platform."""

    switch: str
    value: int


class Signal(NamedTuple):
    """Send a signal to an instance; a paused instance continues after pause_ms."""

    name: str
    action: str
    pause_ms: int = 0


class Mark(NamedTuple):
    """Record how many calls an upstream or a replica has started so far."""

    name: str


class Wait(NamedTuple):
    """Sleep; only for cases in which the elapsed time itself is the fault."""

    span: int


class Show(NamedTuple):
    """Append the state of a group, a job or an upstream to the transcript."""

    subject: str
    name: str


class Expect(NamedTuple):
    """Wait until a condition holds; the limit is multiplied by LIMIT_SCALE."""

    condition: "Condition"
    limit_ms: int = DEFAULT_LIMIT_MS


class Condition(NamedTuple):
    """State a kind of check, its subject, and the expected number or names."""

    kind: str
    subject: str = ""
    number: int = 0
    names: tuple[str, ...] = ()


Step = (
    StartPlatform
    | StartReplicas
    | StartInstance
    | DefineProfile
    | Race
    | Send
    | SubmitJob
    | CancelJob
    | Fail
    | Slow
    | Leave
    | Platform
    | Signal
    | Mark
    | Wait
    | Show
    | Expect
)


def _crash(replica: str, restart_ms: int) -> Fail:
    return Fail(replica, "crash", 0, restart_ms)


def _condition(kind: str) -> Any:
    def make(subject: str = "", number: int = 0, names: tuple[str, ...] = ()) -> Condition:
        return Condition(kind, subject, number, tuple(names))

    return make


def _replicas(kind: str) -> Any:
    return lambda number, name: StartReplicas(kind, number, name)


def _profile(urgency: str, idempotent: bool) -> Any:
    def make(name: str, due: int, upstream: str, on: str = "") -> DefineProfile:
        return DefineProfile(name, urgency, due, upstream, idempotent, on)

    return make


def _send(kind: str) -> Any:
    return lambda **values: Send(kind=kind, **values)


def _platform(switch: str) -> Any:
    return lambda value: Platform(switch, int(value))


def _signal(action: str) -> Any:
    return lambda name, pause_ms=0: Signal(name, action, pause_ms)


def _show(subject: str) -> Any:
    return lambda name: Show(subject, name)


_PROFILE_SUFFIX: Final = "upstream {upstream:name} [on {on:name}]"
_SEND_SUFFIX: Final = "profile {profile:name} [key {key:name}] to {to:name} [as {label:name}]"

FORMS: Final = (
    Form("start platform", StartPlatform),
    Form("start engines {number:int} named {name:name}", _replicas("engines")),
    Form("start services {number:int} named {name:name}", _replicas("services")),
    Form("start instance {name:name}", StartInstance),
    *(
        Form(
            f"profile {{name:name}} {urgency} due {{due:time}} {idempotency} {_PROFILE_SUFFIX}",
            _profile(urgency, idempotency == "idempotent"),
        )
        for urgency in ("urgent", "normal", "batch")
        for idempotency in ("idempotent", "not idempotent")
    ),
    Form(
        "race profile {name:name} due {first_due:time} on {first:name}"
        " against due {second_due:time} on {second:name}",
        Race,
    ),
    Form(f"send {{number:int}} chat {_SEND_SUFFIX}", _send("chat")),
    Form(f"send {{number:int}} stream {_SEND_SUFFIX}", _send("stream")),
    Form(f"send {{number:int}} call {_SEND_SUFFIX}", _send("service")),
    Form(
        "submit job {name:name} {number:int} items profile {profile:name}"
        " [key {key:name}] to {to:name}",
        SubmitJob,
    ),
    Form("cancel job {name:name} via {via:name}", CancelJob),
    Form("fail engine {replica:name} {mode:name} [times {times:int}]", Fail),
    Form("fail service {replica:name} {mode:name} [times {times:int}]", Fail),
    Form("crash {replica:name} for {restart_ms:time}", _crash),
    Form("heal {replica:name}", lambda replica: Fail(replica, "ok")),
    Form("slow {replica:name} by {factor:int}", Slow),
    Form("upstream {replica:name} leaves", Leave),
    Form("platform outage {value:switch}", _platform("outage")),
    Form("platform loses {value:int} answers", _platform("lose_answers")),
    Form("platform slow by {value:time}", _platform("slow_ms")),
    Form("platform drops watches {value:switch}", _platform("drop_watches")),
    Form("kill instance {name:name}", _signal("kill")),
    Form("stop instance {name:name}", _signal("stop")),
    Form("pause instance {name:name} {pause_ms:time}", _signal("pause")),
    Form("mark {name:name}", Mark),
    Form("wait {span:time}", Wait),
    Form("show group {name:name}", _show("group")),
    Form("show job {name:name}", _show("job")),
    Form("show calls at {name:name}", _show("calls")),
)

CONDITIONS: Final = (
    Form("all of {subject:name} answered", _condition("answered")),
    Form("{number:int} of {subject:name} answered", _condition("some_answered")),
    Form("{number:int} of {subject:name} refused", _condition("some_refused")),
    Form("all of {subject:name} ended", _condition("ended")),
    Form("refusals of {subject:name} true", _condition("refusals_true")),
    Form("{number:int} calls at {subject:name}", _condition("calls_started")),
    Form("calls at {subject:name} at most once", _condition("calls_at_most_once")),
    Form("job {subject:name} completed", _condition("job_completed")),
    Form("job {subject:name} cancelled", _condition("job_cancelled")),
    Form("job {subject:name} past {number:int} items", _condition("job_past")),
    Form("results of {subject:name} once each", _condition("results_once")),
    Form("{subject:name} idle", _condition("idle")),
    Form("{subject:name} started {number:int} since mark", _condition("started_since")),
    Form("instance {subject:name} exited {number:int}", _condition("exited")),
    Form("instance {subject:name} not ready", _condition("not_ready")),
    Form("instance {subject:name} ready", _condition("ready")),
    Form("instance {subject:name} logged {number:int}", _condition("logged")),
    Form("instance {subject:name} sees {number:int} peers", _condition("peers")),
    Form("instance {subject:name} uses {number:int} of {names:names}", _condition("replicas")),
    Form("profile {subject:name} in force on {names:names}", _condition("in_force")),
    Form("race won by one", _condition("race_won")),
)


def parse_step(line: str) -> Result[Step, str]:
    """Parse a line into the step that it states."""
    if line.startswith("expect "):
        return _expect(line.removeprefix("expect "), DEFAULT_LIMIT_MS)
    if line.startswith("within "):
        within = match(line, [Form("within {limit:time} {text:rest}", _Within)])
        return within.and_then(lambda parts: _expect(parts.text, parts.limit))
    return match(line, FORMS)


class _Within(NamedTuple):
    limit: int
    text: str


def _expect(text: str, limit_ms: int) -> Result[Step, str]:
    matched = match(text, CONDITIONS)
    if isinstance(matched, Err):
        return Err(matched.err_value.replace("step", "condition"))
    return Ok(Expect(matched.ok_value, limit_ms))
