"""Listen with a Klein app, and refuse requests that match no route in the usual format.

This is separate from listen.py because Klein would make up a quarter of the imports of a process
that does not use it.
"""

from typing import Any

from klein import Klein
from result import Result
from twisted.python.failure import Failure
from werkzeug.exceptions import HTTPException

from papayapier.entry.answers import refuse, with_content_length
from papayapier.entry.site import BodyLimit
from papayapier.entry.web import WebRequest
from papayapier.errors import ErrorKind, not_run_refusal
from papayapier.listen import MAX_BODY_BYTES, ListeningPort, listen_resource, make_body_limit


def listen(
    reactor: Any,
    app: Klein,
    field: str,
    host: str,
    port: int,
    body_limit: BodyLimit | None = None,
) -> Result[ListeningPort, str]:
    """Listen with an app; the error names the settings field and the address."""
    _refuse_unrouted(app)
    limit = body_limit or make_body_limit(MAX_BODY_BYTES)
    return listen_resource(reactor, app.resource(), field, host, port, limit)


def _refuse_unrouted(app: Klein) -> None:
    """Refuse requests that match no route in the format of all other refusals."""

    handle: Any = app.handle_errors

    @handle(HTTPException)  # type: ignore[untyped-decorator]
    def unrouted(request: WebRequest, _failure: Failure) -> bytes:
        method = request.method.decode("ascii", "replace")
        path = request.path.decode("ascii", "replace")
        refusal = not_run_refusal(ErrorKind.NOT_FOUND, f"no route takes {method} {path}")
        return with_content_length(request, refuse(request, refusal))
