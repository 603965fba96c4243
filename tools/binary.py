"""Build ``dist/heatherpick``, one file that runs as one process.

Run it with ``python -m tools.binary``. It copies the dependencies from
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

#: Directory in memory where the file unpacks itself on a VM; SHIV_ROOT overrides it.
UNPACK_ROOT = "/run/heatherpick"

INTERPRETER = f"/usr/bin/env python{sys.version_info.major}.{sys.version_info.minor}"
ENTRY_POINT = "heatherpick.__main__:main"

#: Directories of distributions that are not needed at run time.
EXCLUDED_DIRECTORIES = ("test", "tests", "testing", "__pycache__")


def main():
    """Build the file and print its path and size."""
    target = ROOT / "dist" / "heatherpick"
    build(target)
    print(f"{target.relative_to(ROOT)}: {target.stat().st_size} bytes")


def build(target):
    """Build the program into the file ``target``."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as directory:
        site_packages = Path(directory) / "site-packages"
        shutil.copytree(ROOT / "src" / "heatherpick", site_packages / "heatherpick")
        for distribution in list_distributions(_read_dependencies()):
            _copy_distribution(distribution, site_packages)
        _write_archive(site_packages, target)


def list_distributions(requirements):
    """Return the installed distributions that ``requirements`` need, sorted by name.

    Parameters
    ----------
    requirements : iterable of str
        Requirements in the format of ``pyproject.toml``.

    Returns
    -------
    list of importlib.metadata.Distribution
        The distributions and their transitive dependencies.
    """
    found = {}
    pending = [(Requirement(each), "") for each in requirements]
    seen = set()
    while pending:
        requirement, extra = pending.pop()
        if requirement.marker and not requirement.marker.evaluate({"extra": extra}):
            continue
        distribution = importlib.metadata.distribution(requirement.name)
        found[distribution.name] = distribution
        for wanted_extra in ("", *requirement.extras):
            if (distribution.name, wanted_extra) in seen:
                continue
            seen.add((distribution.name, wanted_extra))
            for line in distribution.requires or ():
                pending.append((Requirement(line), wanted_extra))
    return [found[name] for name in sorted(found)]


def _read_dependencies():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())
    return project["project"]["dependencies"]


def _copy_distribution(distribution, site_packages):
    for file in distribution.files:
        # Scripts are installed outside site-packages, so they are not copied.
        if ".." in file.parts or any(
            part in EXCLUDED_DIRECTORIES for part in file.parts
        ):
            continue
        target = site_packages / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), target)


def _write_archive(site_packages, target):
    # --compile-pyc is not used: it makes the first start compile in child processes.
    arguments = ["--site-packages", site_packages, "--output-file", target]
    arguments += ["--entry-point", ENTRY_POINT, "--python", INTERPRETER]
    arguments += ["--root", UNPACK_ROOT, "--compressed", "--reproducible"]
    run_shiv([str(each) for each in arguments], standalone_mode=False)


if __name__ == "__main__":
    main()
