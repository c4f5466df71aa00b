"""Decide the stages of a planned stop of this instance.

The load balancer keeps sending for some time after the instance is marked leaving. An instance that
stops accepting at once would refuse those requests, so it serves until that time is over, then
refuses new ones, and stops when nothing is in flight.
"""

from typing import NamedTuple, Protocol

from automat import TypeMachineBuilder


class DrainPlan(NamedTuple):
    """Set the timing of a planned stop, in ms."""

    balancer_lag_ms: int
    limit_ms: int


class StopStages(Protocol):
    """Describe the inputs of the state machine of a stop."""

    def leave(self) -> None:
        """Handle the order to stop."""

    def on_balancer_lag_over(self) -> None:
        """Handle that the load balancer no longer sends here."""

    def on_idle(self) -> None:
        """Handle that nothing is in flight."""

    def abandon(self) -> None:
        """Handle that the stop cannot wait any longer."""

    def name(self) -> str:
        """Return the stage."""


class _Core:
    __slots__ = ()


_builder = TypeMachineBuilder(StopStages, _Core)
_serving = _builder.state("serving")
_leaving = _builder.state("leaving")
_draining = _builder.state("draining")
_stopped = _builder.state("stopped")

_serving.upon(StopStages.leave).to(_leaving).returns(None)
_leaving.upon(StopStages.leave).loop().returns(None)
_draining.upon(StopStages.leave).loop().returns(None)
_stopped.upon(StopStages.leave).loop().returns(None)

_serving.upon(StopStages.on_balancer_lag_over).loop().returns(None)
_leaving.upon(StopStages.on_balancer_lag_over).to(_draining).returns(None)
_draining.upon(StopStages.on_balancer_lag_over).loop().returns(None)
_stopped.upon(StopStages.on_balancer_lag_over).loop().returns(None)

_serving.upon(StopStages.on_idle).loop().returns(None)
_leaving.upon(StopStages.on_idle).loop().returns(None)
_draining.upon(StopStages.on_idle).to(_stopped).returns(None)
_stopped.upon(StopStages.on_idle).loop().returns(None)

_serving.upon(StopStages.abandon).to(_stopped).returns(None)
_leaving.upon(StopStages.abandon).to(_stopped).returns(None)
_draining.upon(StopStages.abandon).to(_stopped).returns(None)
_stopped.upon(StopStages.abandon).loop().returns(None)

_serving.upon(StopStages.name).loop().returns("serving")
_leaving.upon(StopStages.name).loop().returns("leaving")
_draining.upon(StopStages.name).loop().returns("draining")
_stopped.upon(StopStages.name).loop().returns("stopped")

_build_stages = _builder.build()


class Drain:
    """Track one instance's planned stop."""

    def __init__(self, plan: DrainPlan) -> None:
        self._plan = plan
        self._stages = _build_stages(_Core())
        self._began = 0

    def leave(self, now: int) -> None:
        """Begin the stop; later orders have no effect."""
        if self.state() == "serving":
            self._began = now
        self._stages.leave()

    def tick(self, now: int, in_flight: int) -> str:
        """Advance the stop; return the state.

        in_flight counts what is left: queued, running and streaming calls.
        """
        if self.state() == "serving":
            return "serving"
        if now >= self._began + self._plan.balancer_lag_ms:
            self._stages.on_balancer_lag_over()
        if in_flight == 0:
            self._stages.on_idle()
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
        """Tell whether new requests are still accepted."""
        return self.state() in ("serving", "leaving")
