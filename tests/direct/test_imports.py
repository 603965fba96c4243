"""Tests of which modules a node imports, as memory is the scarcest resource of VMs."""

import os
import subprocess
import sys

#: Third-party modules that a node on the platform may import.
ALLOWED_MODULES = {"httptools", "orjson", "xxhash"}
#: Modules of the standard library that take a megabyte or more and that no node needs.
HEAVY_MODULES = {"asyncio", "ssl", "logging", "argparse", "unittest", "email", "http"}
#: Prints the modules that the import of the node adds to those of the interpreter.
SCRIPT = """
import sys
before = set(sys.modules)
import heatherpick.platform.__main__
print(*(set(sys.modules) - before))
"""


def list_imported():
    """Return the top-level and the full names of the modules that a node imports."""
    process = subprocess.run(
        [sys.executable, "-c", SCRIPT],
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONPATH": "src"},
    )
    return {
        name.partition(".")[0] for name in process.stdout.split()
    }, process.stdout.split()


def test_node_loads_only_its_declared_dependencies():
    top_level, _ = list_imported()
    own_modules = {"heatherpick", "_cython_3_3_0", "cython_runtime"}
    third_party = {
        name for name in top_level if name not in sys.stdlib_module_names
    } - own_modules
    assert third_party <= ALLOWED_MODULES


def test_node_loads_no_heavy_module_of_the_standard_library():
    top_level, _ = list_imported()
    assert not top_level & HEAVY_MODULES


def test_node_loads_no_module_of_the_commands_or_the_shell():
    _, imported = list_imported()
    unexpected = [
        name
        for name in imported
        if name.startswith(("heatherpick._commands", "heatherpick._shell"))
    ]
    assert unexpected == []
    core = {name for name in imported if name.startswith("heatherpick._core.")}
    assert core == {"heatherpick._core.quantiles", "heatherpick._core.rendezvous"}


def test_deployment_pins_the_same_versions_as_the_project():
    def read(path):
        lines = open(path).read().splitlines()
        return {line for line in lines if line and not line.startswith("#")}

    assert read("deploy/requirements.txt") <= read("requirements.txt")
