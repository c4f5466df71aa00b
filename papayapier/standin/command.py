"""Run a fleet of stand-ins as one process, for tests and measurements."""

import argparse
import signal
import sys
from pathlib import Path
from typing import Any, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier import codec
from papayapier.clock import real_clock
from papayapier.exits import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from papayapier.standin.engine_steps import EngineParams
from papayapier.standin.fleet import Fleet, FleetParams, run_fleet, run_replicas
from papayapier.standin.platform import PlatformParams
from papayapier.standin.service import ServiceParams
from papayapier.store.api import Member


class StandinParams(NamedTuple):
    """Hold the parameters of the three kinds of stand-in, as read from a file."""

    platform: PlatformParams = PlatformParams()
    engine: EngineParams = EngineParams()
    service: ServiceParams = ServiceParams()


class Addresses(NamedTuple):
    """Hold where the stand-ins listen; platform_port is 0 without a platform."""

    platform_port: int
    replicas: list[Member]


def run_standin(options: argparse.Namespace) -> int:
    """Run stand-ins until SIGTERM; the first printed line holds their addresses as JSON."""
    params = _read_params(options.params)
    if isinstance(params, Err):
        print(f"papayapier: {params.err_value}", file=sys.stderr)
        return EXIT_USAGE
    fleet = _fleet_params(options, params.ok_value)
    from twisted.internet import reactor as installed

    reactor: Any = installed
    exit_codes = [EXIT_OK]

    def on_failed(failure: Any) -> None:
        print(f"papayapier: {failure.getErrorMessage()}", file=sys.stderr)
        exit_codes[0] = EXIT_FAILED
        reactor.stop()

    def on_running() -> None:
        Deferred.fromCoroutine(_start(reactor, fleet, options.no_platform)).addErrback(on_failed)

    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))
    signal.signal(signal.SIGINT, lambda *_: reactor.callFromThread(reactor.stop))
    reactor.callWhenRunning(on_running)
    reactor.run(installSignalHandlers=False)
    return exit_codes[0]


def _read_params(path: Path | None) -> Result[StandinParams, str]:
    if path is None:
        return Ok(StandinParams())
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Err(f"{path}: cannot be read: {exc}")
    return codec.from_commented_json(text, StandinParams).map_err(lambda error: f"{path}: {error}")


def _fleet_params(options: argparse.Namespace, params: StandinParams) -> FleetParams:
    return FleetParams(
        engines=options.engines,
        services=options.services,
        platform_port=options.platform_port,
        engine_upstream=options.engine_name,
        service_upstream=options.service_name,
        data_centres=tuple(options.data_centres.split(",")),
        first=options.first,
        platform=params.platform,
        engine=params.engine,
        service=params.service,
    )


async def _start(reactor: Any, params: FleetParams, no_platform: bool) -> Fleet | None:
    if no_platform:
        replicas = await run_replicas(reactor, real_clock(), params)
        _print_addresses(Addresses(0, replicas.members))
        return None
    fleet = await run_fleet(reactor, real_clock(), params)
    _print_addresses(Addresses(fleet.platform.port, fleet.members))
    return fleet


def _print_addresses(addresses: Addresses) -> None:
    print(codec.to_json(addresses).decode(), flush=True)
