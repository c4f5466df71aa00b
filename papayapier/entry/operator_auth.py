"""Authenticate operators.

On batch routes an operator acts for a caller, who is named in a header. The header is trusted
because the operator is authenticated.
"""

import ipaddress
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final, cast

from result import Err, Ok, Result

from papayapier import events
from papayapier.entry.callers import caller_auth, key_holder
from papayapier.errors import ErrorKind, Refusal, not_run_refusal

if TYPE_CHECKING:
    from papayapier.entry.callers import CallerAuth
    from papayapier.entry.web import WebRequest
    from papayapier.settings import KeyEntry

OperatorAuth = Callable[["WebRequest"], Result[str, Refusal]]

LOCAL_OPERATOR: Final = "local"


def operator_auth(operators: "tuple[KeyEntry, ...]") -> OperatorAuth:
    """Return the check of operators; with none listed, only local connections are accepted.

    Keys are only compared, and never logged or written to the audit trail.
    """

    def check(request: "WebRequest") -> Result[str, Refusal]:
        if operators:
            name = key_holder(request, operators)
        else:
            name = LOCAL_OPERATOR if _is_local(request) else None
        if name is not None:
            return Ok(name)
        events.emit(events.OPERATOR_REFUSED, address=_address(request))
        reason = "Authorization: operator key missing or not known"
        return Err(not_run_refusal(ErrorKind.UNAUTHORIZED, reason))

    return check


def job_auth(operators: "tuple[KeyEntry, ...]") -> "CallerAuth":
    """Return the check for batch routes on the operators' address, which returns the caller."""
    check = operator_auth(operators)
    named_caller = caller_auth(())

    def authenticated_caller(request: "WebRequest") -> Result[str, Refusal]:
        operator = check(request)
        return operator if isinstance(operator, Err) else named_caller(request)

    return authenticated_caller


def refuse_new_work() -> Refusal:
    """Refuse new files and jobs on the operators' address."""
    return not_run_refusal(
        ErrorKind.BAD_REQUEST, "new files and jobs are accepted only on the callers' address"
    )


def _is_local(request: "WebRequest") -> bool:
    try:
        return ipaddress.ip_address(_address(request)).is_loopback
    except ValueError:
        return False


def _address(request: "WebRequest") -> str:
    return str(getattr(cast(Any, request).getClientAddress(), "host", ""))
