"""Run all tests; failures that KNOWN-RED.txt lists are printed and passed over.

An entry of KNOWN-RED.txt is a line ``test: NAME`` followed by lines on command, seed, what was
seen and the issue. Any other failure, and an entry that no test bears, fails the run. Without
names of tests, the modules run in two processes beside each other, since most tests wait. Modules
whose load would delay others run alone after them.
"""

import re
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

from nose2.main import PluggableTestProgram
from nose2.plugins.result import ResultReporter

TESTS = Path(__file__).resolve().parent
KNOWN_RED = TESTS.parent / "KNOWN-RED.txt"
ENTRY = "test:"
PROCESSES = 2
ALONE = ("tests.test_caller_crowds",)  # its callers keep the machine and a daemon busy
COUNTS = re.compile(r"(\d+) passed, (\d+) failed, (\d+) known red")


class Counts(NamedTuple):
    """Numbers of tests by what became of them."""

    passed: int
    failed: int
    known_red: int

    def __str__(self) -> str:
        """Return the closing line of a run."""
        return f"{self.passed} passed, {self.failed} failed, {self.known_red} known red"


def read_known() -> set[str]:
    """Return the names of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line[len(ENTRY) :].strip() for line in lines if line.startswith(ENTRY)}


def list_modules() -> list[str]:
    """Return the names of all test modules."""
    return sorted(f"tests.{path.stem}" for path in TESTS.glob("test_*.py"))


def get_reporter(program: PluggableTestProgram) -> ResultReporter:
    """Return the plugin that knows the results."""
    return next(plugin for plugin in program.session.plugins if isinstance(plugin, ResultReporter))


def list_failed(reporter: ResultReporter) -> set[str]:
    """Return the names of the tests that failed."""
    events = [*reporter.reportCategories["failures"], *reporter.reportCategories["errors"]]
    return {event.test.id().split("\n")[0] for event in events}


def run_here(arguments: list[str]) -> int:
    """Run tests in this process and return the exit status."""
    known = read_known()
    program = PluggableTestProgram(module=None, exit=False, argv=["nose2", *arguments])
    reporter = get_reporter(program)
    failed = list_failed(reporter)
    for name in sorted(failed & known):
        print(f"known red: {name}")
    modules = tuple(f"{name}." for name in arguments if name.startswith("tests."))
    for name in sorted(known - failed):
        if name.startswith(modules):
            print(f"known red, but did not fail: {name}")
    unknown = failed - known
    print(Counts(reporter.testsRun - len(failed), len(unknown), len(failed & known)))
    return 1 if unknown or reporter.testsRun == 0 else 0


def run_beside(groups: list[list[str]], arguments: list[str]) -> tuple[list[int], list[str]]:
    """Run groups of modules in processes beside each other, and return statuses and outputs."""
    with tempfile.TemporaryDirectory() as folder:
        outputs = [Path(folder) / f"{number}.log" for number in range(len(groups))]
        processes = []
        for modules, path in zip(groups, outputs, strict=True):
            command = [sys.executable, "-m", "tests.runner", *arguments]
            with path.open("wb") as output:
                processes.append(
                    subprocess.Popen(
                        [*command, *modules],
                        stdout=output,
                        stderr=subprocess.STDOUT,
                    )
                )
        statuses = [process.wait() for process in processes]
        return statuses, [path.read_text(encoding="utf-8", errors="replace") for path in outputs]


def run_in_processes(arguments: list[str]) -> int:
    """Run all test modules, dealt to processes in turn, and return the exit status."""
    modules = list_modules()
    beside = [name for name in modules if name not in ALONE]
    statuses, texts = run_beside([beside[n::PROCESSES] for n in range(PROCESSES)], arguments)
    last_statuses, last_texts = run_beside([list(ALONE)], arguments)
    statuses += last_statuses
    texts += last_texts
    total = Counts(0, 0, 0)
    for text in texts:
        print(text)
        found = COUNTS.findall(text)
        own = Counts(*map(int, found[-1])) if found else Counts(0, 1, 0)
        total = Counts(*(sum(pair) for pair in zip(total, own, strict=True)))
    strays = [
        name
        for name in sorted(read_known())
        if name.startswith("tests.") and name.rpartition(".")[0] not in modules
    ]
    for name in strays:
        print(f"known red, but no module has it: {name}")
    print(total)
    return 1 if strays or any(statuses) or total.failed or not total.passed else 0


def main() -> int:
    """Run the tests that are named, or all, and return the exit status."""
    arguments = sys.argv[1:]
    named = any(argument.startswith("tests.") for argument in arguments)
    return run_here(arguments) if named else run_in_processes(arguments)


if __name__ == "__main__":
    sys.exit(main())
