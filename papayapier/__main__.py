"""Run the command line as `python -m papayapier`."""

from papayapier.main import run

run()
