"""Import the program from the build that is current when a process starts.

misc/deploy_build.py writes this text, with a call of use_build at its end, into the package that
Python finds on the platform. That package then gives way to the one of the build. The build is
chosen once in each process, so that none imports modules of two builds.
"""

import importlib
import os.path
import sys
from importlib.machinery import EXTENSION_SUFFIXES


def use_build(extensions: str, program: str, libraries: str) -> None:
    """Replace this package by that of a build, and have Python find the libraries of that build.

    extensions is the suffix of the extension modules of the Python that the build is for; the other
    arguments are the names of the build's folders. Exits if this is another Python.
    """
    if extensions != EXTENSION_SUFFIXES[0]:
        built_for = f"built for {extensions}, but this Python has {EXTENSION_SUFFIXES[0]}"
        sys.exit(f"papayapier: {built_for}; run the build command")
    deps = os.path.dirname(os.path.dirname(__file__))
    target = os.path.dirname(deps)
    index = sys.path.index(deps)
    sys.path[index : index + 1] = [
        os.path.join(target, "programs", program),
        os.path.join(target, "libraries", libraries),
    ]
    del sys.modules[__name__]
    importlib.import_module(__name__)
