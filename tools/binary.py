"""Build ``dist/heatherpick``, one file that runs as one process.

Run it with ``python -m tools.binary``. It takes the product's dependencies from
the environment that it runs in, so it needs no network.
"""

import importlib.metadata
import shutil
import sys
import tempfile
import tomllib
from pathlib import Path

from packaging.requirements import Requirement
from shiv.cli import main as run_shiv

__all__ = ["build", "list_distributions", "main"]

ROOT = Path(__file__).resolve().parent.parent

#: Where the file unpacks itself on a VM, in memory; SHIV_ROOT overrides it.
UNPACK_ROOT = "/run/heatherpick"

INTERPRETER = f"/usr/bin/env python{sys.version_info.major}.{sys.version_info.minor}"
ENTRY_POINT = "heatherpick.__main__:main"

#: Directories of distributions that no running program imports.
UNUSED = ("test", "tests", "testing", "__pycache__")


def main():
    """Build the file and print its place and size."""
    target = ROOT / "dist" / "heatherpick"
    build(target)
    print(f"{target.relative_to(ROOT)}: {target.stat().st_size} bytes")


def build(target):
    """Build the program into the file ``target``."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as directory:
        site = Path(directory) / "site-packages"
        shutil.copytree(ROOT / "src" / "heatherpick", site / "heatherpick")
        for distribution in list_distributions(_read_dependencies()):
            _copy_distribution(distribution, site)
        _pack(site, target)


def list_distributions(requirements):
    """Return the installed distributions that ``requirements`` need, by name.

    Parameters
    ----------
    requirements : iterable of str
        Requirements as they stand in ``pyproject.toml``.

    Returns
    -------
    list of importlib.metadata.Distribution
        These distributions and those that they need in turn.
    """
    found = {}
    waiting = [(Requirement(each), "") for each in requirements]
    seen = set()
    while waiting:
        requirement, extra = waiting.pop()
        if requirement.marker and not requirement.marker.evaluate({"extra": extra}):
            continue
        distribution = importlib.metadata.distribution(requirement.name)
        found[distribution.name] = distribution
        for wanted in ("", *requirement.extras):
            if (distribution.name, wanted) in seen:
                continue
            seen.add((distribution.name, wanted))
            for line in distribution.requires or ():
                waiting.append((Requirement(line), wanted))
    return [found[name] for name in sorted(found)]


def _read_dependencies():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())
    return project["project"]["dependencies"]


def _copy_distribution(distribution, site):
    for file in distribution.files:
        # Scripts are installed outside the directory that is copied.
        if ".." in file.parts or any(part in UNUSED for part in file.parts):
            continue
        target = site / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), target)


def _pack(site, target):
    # Not --compile-pyc: that makes the first start compile in processes of its own.
    arguments = ["--site-packages", site, "--output-file", target]
    arguments += ["--entry-point", ENTRY_POINT, "--python", INTERPRETER]
    arguments += ["--root", UNPACK_ROOT, "--compressed", "--reproducible"]
    run_shiv([str(each) for each in arguments], standalone_mode=False)


if __name__ == "__main__":
    main()
