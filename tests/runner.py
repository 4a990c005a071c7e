"""Run all tests; failures that KNOWN-RED.txt lists are printed and passed over.

An entry of KNOWN-RED.txt is a line ``test: NAME`` followed by lines on command, seed, what was
seen and the issue. Any other failure, and an entry that no test bears, fails the run.
"""

import sys
from pathlib import Path

from nose2.main import PluggableTestProgram
from nose2.plugins.result import ResultReporter

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
ENTRY = "test:"


def read_known() -> set[str]:
    """Return the names of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line[len(ENTRY) :].strip() for line in lines if line.startswith(ENTRY)}


def list_failed(program: PluggableTestProgram) -> set[str]:
    """Return the names of the tests that failed."""
    reporter = next(
        plugin for plugin in program.session.plugins if isinstance(plugin, ResultReporter)
    )
    events = [*reporter.reportCategories["failures"], *reporter.reportCategories["errors"]]
    return {event.test.id().split("\n")[0] for event in events}


def main() -> int:
    """Run the tests and return the exit status."""
    known = read_known()
    program = PluggableTestProgram(module=None, exit=False, argv=["nose2", *sys.argv[1:]])
    failed = list_failed(program)
    for name in sorted(failed & known):
        print(f"known red: {name}")
    for name in sorted(known - failed):
        print(f"known red, but did not fail: {name}")
    ran = next(
        plugin.testsRun for plugin in program.session.plugins if isinstance(plugin, ResultReporter)
    )
    unknown = failed - known
    print(f"{ran - len(failed)} passed, {len(unknown)} failed, {len(failed & known)} known red")
    return 1 if unknown or ran == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
