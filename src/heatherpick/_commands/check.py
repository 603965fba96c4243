"""Check declarations and settings without publishing anything."""

import dataclasses
import json
import sys

from heatherpick._commands.arguments import add_paths
from heatherpick._commands.command import Command, ExitCode
from heatherpick.declarations import encode_declarations, load_declarations
from heatherpick.errors import DeclarationError, Finding, SettingsError
from heatherpick.settings import NodeSettings

__all__ = ["CheckCommand"]


class CheckCommand(Command):
    """Check files as one set and report every finding."""

    name = "check"
    summary = "check declarations, and settings of a node"
    description = (
        "Checks all files together and reports every finding with its file and line. "
        "Publishes nothing and needs no network."
    )

    def add_arguments(self, parser):
        """Add the files, ``--settings`` and ``--json``."""
        add_paths(parser)
        parser.add_argument(
            "--settings",
            metavar="FILE",
            help="INI file of a node that will use the declarations",
        )
        parser.add_argument(
            "--json", action="store_true", help="print the report as JSON"
        )

    def run(self, arguments):
        """Check the files and print the findings."""
        report = _Report()
        declarations = report.try_load(_load_declarations, arguments.paths)
        if arguments.settings is not None:
            settings = report.try_load(NodeSettings.from_file, arguments.settings)
            _check_data_centre(declarations, settings, arguments.settings, report)
        print_report = report.print_json if arguments.json else report.print_text
        print_report()
        return ExitCode.BAD_INPUT if report.n_found else ExitCode.OK


def _load_declarations(paths):
    declarations = load_declarations(paths)
    # Encoding checks the size of the body that would be published.
    encode_declarations(declarations)
    return declarations


def _check_data_centre(declarations, settings, path, report):
    if declarations is None or settings is None:
        return
    if settings.data_centre not in declarations.data_centres:
        message = f"there is no [data-centre {settings.data_centre}]; declare it"
        report.add(Finding(path, 0, "[node] data_centre", message))


class _Report:
    """Collects the findings of several checks and prints them."""

    def __init__(self):
        self.findings = []
        self.n_found = 0

    def add(self, finding):
        self.findings.append(finding)
        self.n_found += 1

    def try_load(self, load, argument):
        """Return the result of ``load``, or None after adding the raised findings."""
        try:
            return load(argument)
        except (DeclarationError, SettingsError) as error:
            self.findings.extend(error.findings)
            self.n_found += error.n_found
            return None

    def print_json(self):
        findings = [dataclasses.asdict(finding) for finding in self.findings]
        content = {"n_findings": self.n_found, "findings": findings}
        print(json.dumps(content, indent=1))

    def print_text(self):
        if self.n_found:
            print(DeclarationError(self.findings, self.n_found), file=sys.stderr)
        print(f"findings: {self.n_found}")
