"""Test that a process on the platform imports only what it needs."""

import subprocess
import sys

import pytest

CODE = """
import sys
from papayapier.node.command import _skip_tls_imports
_skip_tls_imports()
import papayapier.node.run
import papayapier.node.{role}
print(*sorted(sys.modules))
"""
UNUSED_BY_BOTH = [
    "papayapier.compose",
    "papayapier.orders.controller",
    "cryptography",
    "OpenSSL.SSL",
    "klein",
    "werkzeug",
]
NOT_IMPORTED = [
    *(
        ("entry", name)
        for name in [*UNUSED_BY_BOTH, "papayapier.node.keeper", "papayapier.jobs.runs"]
    ),
    *(("keeper", name) for name in [*UNUSED_BY_BOTH, "papayapier.node.entry"]),
]


@pytest.mark.parametrize(("role", "unused"), NOT_IMPORTED)
def test_start_imports_no_unused_modules(role: str, unused: str) -> None:
    """Guard against starts that import unused modules while callers wait after a power loss.

    Without the product's own instance, the TLS libraries, the routing library and the other role a
    start is a fifth shorter. Imports with and without the last two: 0.58 and 0.49 s.
    """
    code = CODE.format(role=role)
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert f"papayapier.node.{role}" in done.stdout.split()
    assert unused not in done.stdout.split()


def test_garbage_collector_is_disabled_during_imports() -> None:
    """Guard against garbage collections during the imports: 0.5 s with them, 0.43 s without.

    Objects that exist when the process has started are frozen, and later collections run.
    """
    code = """
import gc
from papayapier.node import command
from papayapier.serve import _limit_gc_pauses
gc.disable()
_limit_gc_pauses()
print(gc.isenabled(), gc.get_freeze_count() > 1_000)
"""
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.split() == ["True", "True"]
