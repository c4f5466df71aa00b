"""Serve the operators' API: profiles, upstreams' desired state, audit trail and status.

It listens on a separate address, so that callers cannot reach it by mistake. Without operators
in the settings, only connections from this machine are accepted.
"""

from typing import TYPE_CHECKING, Any, Final, NamedTuple, TypeVar

from klein import Klein
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier import codec
from papayapier.config.accept import Accepted, ChangeRequest, Rejected
from papayapier.config.audit_trail import DEFAULT_LIMIT, AuditFilter
from papayapier.config.records import PROFILES, UPSTREAMS, Subject
from papayapier.decoding import parse_number
from papayapier.entry import operator_bodies as bodies
from papayapier.entry.answers import ErrorBody, refuse, reply_json
from papayapier.entry.operator_auth import operator_auth
from papayapier.errors import ErrorKind, Refusal, not_run_refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from papayapier.config.start import ConfigService
    from papayapier.entry.operator_auth import OperatorAuth
    from papayapier.entry.web import WebRequest
    from papayapier.orders.controller import OrdersView
    from papayapier.settings import KeyEntry

T = TypeVar("T")

MAX_BODY_BYTES: Final = 256_000
MAX_AUDIT_LIMIT: Final = 10_000

CHANGE_BODIES: Final[dict[str, type[Any]]] = {
    PROFILES: bodies.ProfileChangeBody,
    UPSTREAMS: bodies.UpstreamChangeBody,
}
CHECK_BODIES: Final[dict[str, type[Any]]] = {
    PROFILES: bodies.ProfileCheckBody,
    UPSTREAMS: bodies.UpstreamCheckBody,
}


class OperatorDeps(NamedTuple):
    """Group the dependencies of the routes; without orders there is no route for them."""

    config: "ConfigService"
    operators: "tuple[KeyEntry, ...]"
    status: "Callable[[], bodies.Status]"
    orders: "Callable[[], OrdersView] | None" = None


class _Routes(NamedTuple):
    """Group what each route depends on."""

    config: "ConfigService"
    auth: "OperatorAuth"


def add_operator_routes(app: Klein, deps: OperatorDeps) -> None:
    """Add the operators' routes to an app."""
    routes = _Routes(deps.config, operator_auth(deps.operators))
    for kind in (PROFILES, UPSTREAMS):
        _add_kind(app, routes, kind)

    @app.route("/v1/audit", methods=["GET"])
    def audit(request: "WebRequest") -> Deferred[bytes]:
        return Deferred.fromCoroutine(_audit(routes, request))

    @app.route("/v1/status", methods=["GET"])
    def status(request: "WebRequest") -> bytes:
        operator = routes.auth(request)
        if isinstance(operator, Err):
            return refuse(request, operator.err_value)
        found = deps.status()
        return reply_json(request, bodies.StatusBody(*found, slowest=found.slowest().id))

    show_orders = deps.orders
    if show_orders is None:
        return

    @app.route("/v1/orders", methods=["GET"])
    def orders(request: "WebRequest") -> bytes:
        operator = routes.auth(request)
        if isinstance(operator, Err):
            return refuse(request, operator.err_value)
        return reply_json(request, show_orders())


def _add_kind(app: Klein, routes: _Routes, kind: str) -> None:
    """Add the routes of one kind of object."""
    path = f"/v1/{kind}"

    @app.route(path, methods=["GET"], endpoint=f"list_{kind}")
    def list_all(request: "WebRequest") -> bytes:
        return _list(routes, request, kind)

    @app.route(f"{path}/check", methods=["POST"], endpoint=f"check_{kind}")
    def check(request: "WebRequest") -> bytes:
        return _check(routes, request, kind)

    @app.route(f"{path}/<name>", methods=["GET"], endpoint=f"get_{kind}")
    def get(request: "WebRequest", name: str) -> bytes:
        return _get(routes, request, Subject(kind, name))

    @app.route(f"{path}/<name>", methods=["PUT"], endpoint=f"put_{kind}")
    def put(request: "WebRequest", name: str) -> Deferred[bytes]:
        return Deferred.fromCoroutine(_put(routes, request, Subject(kind, name)))

    @app.route(f"{path}/<name>", methods=["DELETE"], endpoint=f"delete_{kind}")
    def delete(request: "WebRequest", name: str) -> Deferred[bytes]:
        return Deferred.fromCoroutine(_delete(routes, request, Subject(kind, name)))


def _list(routes: _Routes, request: "WebRequest", kind: str) -> bytes:
    operator = routes.auth(request)
    if isinstance(operator, Err):
        return refuse(request, operator.err_value)
    registry = routes.config.registry
    found = registry.profiles() if kind == PROFILES else registry.upstreams()
    items = [
        bodies.ItemBody(name, registry.version_of(Subject(kind, name).key), desired)
        for name, desired in found.items()
    ]
    return reply_json(request, bodies.ListBody(registry.version(), items))


def _get(routes: _Routes, request: "WebRequest", subject: Subject) -> bytes:
    operator = routes.auth(request)
    if isinstance(operator, Err):
        return refuse(request, operator.err_value)
    registry = routes.config.registry
    kind, name = subject
    desired = registry.profile(name) if kind == PROFILES else registry.upstream(name)
    if desired is None:
        message = f"{kind} has no object named {name}"
        return refuse(request, not_run_refusal(ErrorKind.NOT_FOUND, message))
    version = registry.version_of(subject.key)
    return reply_json(request, bodies.ItemBody(name, version, desired))


def _check(routes: _Routes, request: "WebRequest", kind: str) -> bytes:
    operator = routes.auth(request)
    if isinstance(operator, Err):
        return refuse(request, operator.err_value)
    body = _body(request, CHECK_BODIES[kind])
    if isinstance(body, Err):
        return refuse(request, body.err_value)
    document = body.ok_value[0]
    name = document.get("name", "") if isinstance(document, dict) else ""
    verdict = routes.config.check(Subject(kind, str(name)), document)
    errors, warnings = verdict.errors, verdict.warnings
    return reply_json(request, bodies.CheckBody(not errors, errors, warnings, verdict.stranded))


async def _put(routes: _Routes, request: "WebRequest", subject: Subject) -> bytes:
    operator = routes.auth(request)
    if isinstance(operator, Err):
        return refuse(request, operator.err_value)
    body = _body(request, CHANGE_BODIES[subject.kind])
    if isinstance(body, Err):
        return refuse(request, body.err_value)
    document, based_on, reason, change_id, strand = body.ok_value
    if document is None:
        message = f"{subject.kind.removesuffix('s')}: is null; use DELETE to delete"
        return refuse(request, not_run_refusal(ErrorKind.BAD_REQUEST, message))
    change = ChangeRequest(
        subject, document, based_on, reason, change_id, operator.ok_value, strand
    )
    return _write_result(request, subject, await routes.config.accept(change))


async def _delete(routes: _Routes, request: "WebRequest", subject: Subject) -> bytes:
    operator = routes.auth(request)
    if isinstance(operator, Err):
        return refuse(request, operator.err_value)
    body = _body(request, bodies.DeleteBody)
    if isinstance(body, Err):
        return refuse(request, body.err_value)
    based_on, reason, change_id, strand = body.ok_value
    change = ChangeRequest(subject, None, based_on, reason, change_id, operator.ok_value, strand)
    return _write_result(request, subject, await routes.config.accept(change))


def _write_result(
    request: "WebRequest", subject: Subject, result: Result[Accepted, Rejected]
) -> bytes:
    match result:
        case Ok(accepted):
            return reply_json(request, bodies.AcceptedBody(subject.name, *accepted))
        case Err(rejected):
            return _write_rejection(request, rejected)


def _write_rejection(request: "WebRequest", rejected: Rejected) -> bytes:
    refuse(request, rejected.refusal)
    kind, outcome, reason, retry_after_ms = rejected.refusal
    winner = None if rejected.winner is None else bodies.WinnerBody(*rejected.winner)
    error = ErrorBody(kind.value, outcome.value, reason, retry_after_ms)
    return codec.to_json(bodies.RejectedBody(error, rejected.problems, winner))


async def _audit(routes: _Routes, request: "WebRequest") -> bytes:
    operator = routes.auth(request)
    if isinstance(operator, Err):
        return refuse(request, operator.err_value)
    audit_filter = _audit_filter(request)
    if isinstance(audit_filter, Err):
        return refuse(request, not_run_refusal(ErrorKind.BAD_REQUEST, audit_filter.err_value))
    found = await routes.config.audit(audit_filter.ok_value)
    if isinstance(found, Err):
        message = f"the audit trail cannot be read: {found.err_value.value}"
        return refuse(request, not_run_refusal(ErrorKind.STORE_UNAVAILABLE, message))
    lines = [bodies.AuditLineBody(*line) for line in found.ok_value]
    return reply_json(request, bodies.AuditBody(lines))


def _audit_filter(request: "WebRequest") -> Result[AuditFilter, str]:
    arguments: dict[bytes, list[bytes]] = request.args
    parameters = {key.decode(): values[-1].decode() for key, values in arguments.items()}
    kind = parameters.get("kind", "")
    since = parse_number(parameters.get("since", "0"))
    limit = parse_number(parameters.get("limit", str(DEFAULT_LIMIT)))
    if kind not in ("", PROFILES, UPSTREAMS):
        return Err(f"kind: expected {PROFILES} or {UPSTREAMS}, got {kind}")
    if since is None:
        return Err("since: expected milliseconds since the epoch")
    if limit is None or not 1 <= limit <= MAX_AUDIT_LIMIT:
        return Err(f"limit: expected 1 to {MAX_AUDIT_LIMIT}")
    name, operator = parameters.get("name", ""), parameters.get("who", "")
    return Ok(AuditFilter(kind, name, operator, since, limit))


def _body(request: "WebRequest", kind: type[T]) -> Result[T, Refusal]:
    data: bytes = request.content.read(MAX_BODY_BYTES + 1)
    if len(data) > MAX_BODY_BYTES:
        return Err(not_run_refusal(ErrorKind.TOO_LARGE, f"the body is over {MAX_BODY_BYTES} bytes"))
    return codec.from_json(data, kind).map_err(
        lambda message: not_run_refusal(ErrorKind.BAD_REQUEST, message)
    )
