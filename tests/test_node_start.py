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
NEITHER = [
    "papayapier.compose",
    "papayapier.orders.controller",
    "cryptography",
    "OpenSSL.SSL",
    "klein",
    "werkzeug",
]
LEFT_OUT = [
    *(("entry", name) for name in [*NEITHER, "papayapier.node.keeper", "papayapier.jobs.runs"]),
    *(("keeper", name) for name in [*NEITHER, "papayapier.node.entry"]),
]


@pytest.mark.parametrize(("role", "left_out"), LEFT_OUT)
def test_a_start_leaves_out_what_is_not_used(role: str, left_out: str) -> None:
    # Symptom: after a loss of power of all machines callers wait a fifth longer than needed.
    # Cause: the product's own instance, the TLS libraries, the library for routes and the other
    # role are imported and never used. Imports before and after the last two: 0.58 and 0.49 s.
    code = CODE.format(role=role)
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert f"papayapier.node.{role}" in done.stdout.split()
    assert left_out not in done.stdout.split()


def test_imports_are_not_searched_for_garbage() -> None:
    # Half a second of imports with collections, 0.43 without; what is there when the process has
    # started is left out of later ones, and those go on.
    code = """
import gc
from papayapier.node import command
from papayapier.serve import _shorten_collections
gc.disable()
_shorten_collections()
print(gc.isenabled(), gc.get_freeze_count() > 1_000)
"""
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.split() == ["True", "True"]
