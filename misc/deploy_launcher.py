"""Import the program from the build that is current when a process starts.

misc/deploy_build.py writes this text, with a call of use_build at its end, into the package that
Python finds on the platform. That package then gives way to the one of the build. The build is
chosen once in each process, so that none imports modules of two builds.
"""

import importlib
import os.path
import sys


def use_build(program: str) -> None:
    """Replace this package by that of a build; the argument is the name of its folder."""
    deps = os.path.dirname(os.path.dirname(__file__))
    programs = os.path.join(os.path.dirname(deps), "programs")
    sys.path.insert(sys.path.index(deps), os.path.join(programs, program))
    del sys.modules[__name__]
    importlib.import_module(__name__)
