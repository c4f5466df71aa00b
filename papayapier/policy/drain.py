"""Decide the steps of a planned stop of this instance.

The balancer goes on sending for some time after the instance is marked leaving. An instance
that stops accepting at once would refuse those requests, so it serves until that time is
over, then refuses new ones, and ends when nothing is in flight.
"""

from typing import NamedTuple, Protocol

from automat import TypeMachineBuilder


class DrainPlan(NamedTuple):
    """Set the pace of a planned stop; times are in ms."""

    balancer_lag_ms: int
    limit_ms: int


class Stages(Protocol):
    """Describe the inputs of the stages of a stop."""

    def leave(self) -> None:
        """Take the order to stop."""

    def balancer_passed(self) -> None:
        """Take that the balancer no longer sends here."""

    def emptied(self) -> None:
        """Take that nothing is in flight."""

    def abandon(self) -> None:
        """Take that the stop cannot wait any longer."""

    def name(self) -> str:
        """Return the stage."""


class _Core:
    __slots__ = ()


_builder = TypeMachineBuilder(Stages, _Core)
_serving = _builder.state("serving")
_leaving = _builder.state("leaving")
_draining = _builder.state("draining")
_stopped = _builder.state("stopped")

_serving.upon(Stages.leave).to(_leaving).returns(None)
_leaving.upon(Stages.leave).loop().returns(None)
_draining.upon(Stages.leave).loop().returns(None)
_stopped.upon(Stages.leave).loop().returns(None)

_serving.upon(Stages.balancer_passed).loop().returns(None)
_leaving.upon(Stages.balancer_passed).to(_draining).returns(None)
_draining.upon(Stages.balancer_passed).loop().returns(None)
_stopped.upon(Stages.balancer_passed).loop().returns(None)

_serving.upon(Stages.emptied).loop().returns(None)
_leaving.upon(Stages.emptied).loop().returns(None)
_draining.upon(Stages.emptied).to(_stopped).returns(None)
_stopped.upon(Stages.emptied).loop().returns(None)

_serving.upon(Stages.abandon).to(_stopped).returns(None)
_leaving.upon(Stages.abandon).to(_stopped).returns(None)
_draining.upon(Stages.abandon).to(_stopped).returns(None)
_stopped.upon(Stages.abandon).loop().returns(None)

_serving.upon(Stages.name).loop().returns("serving")
_leaving.upon(Stages.name).loop().returns("leaving")
_draining.upon(Stages.name).loop().returns("draining")
_stopped.upon(Stages.name).loop().returns("stopped")

_make_stages = _builder.build()


class Drain:
    """Track one instance's planned stop."""

    def __init__(self, plan: DrainPlan) -> None:
        self._plan = plan
        self._stages = _make_stages(_Core())
        self._began = 0

    def leave(self, now: int) -> None:
        """Begin the stop; later orders change nothing."""
        if self.state() == "serving":
            self._began = now
        self._stages.leave()

    def tick(self, now: int, in_flight: int) -> str:
        """Take the time and what is left (queued, running, streaming); return the state."""
        if self.state() == "serving":
            return "serving"
        if now >= self._began + self._plan.balancer_lag_ms:
            self._stages.balancer_passed()
        if in_flight == 0:
            self._stages.emptied()
        if now >= self._began + self._plan.limit_ms:
            self._stages.abandon()
        return self.state()

    def abandon(self) -> None:
        """Stop at once, as on a second signal."""
        self._stages.abandon()

    def state(self) -> str:
        """Return "serving", "leaving", "draining" or "stopped"."""
        return self._stages.name()

    def accepts(self) -> bool:
        """Tell whether new requests are still taken."""
        return self.state() in ("serving", "leaving")
