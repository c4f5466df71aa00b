"""Provide the operators' commands: profiles, upstreams, audit trail, status and jobs.

Each command calls the operator address of one instance over HTTP.
"""

from typing import TYPE_CHECKING

from papayapier.operate.configuration import add_configuration_commands
from papayapier.operate.explain import add_explain_command
from papayapier.operate.jobs import add_job_commands
from papayapier.operate.reports import add_report_commands

if TYPE_CHECKING:
    import argparse

__all__ = ["add_operator_commands"]


def add_operator_commands(
    subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    """Register all operator commands; each sets "command" to the function that runs it."""
    add_configuration_commands(subparsers)
    add_report_commands(subparsers)
    add_job_commands(subparsers)
    add_explain_command(subparsers)
