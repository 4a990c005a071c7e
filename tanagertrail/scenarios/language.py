"""A small language of scripted scenarios over an in-memory cluster on virtual time.

A line is a setting (``cluster daemons=3``), an action with its time (``at 5 crash dial-1``) or an
expectation (``expect answered >= 0.95``). ``#`` starts a comment.
"""

__all__ = ["Scenario", "ScenarioError", "ScenarioResult", "parse_scenario", "run_scenario"]

import asyncio
import operator
import random
import shlex
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from tanagertrail.errors import InvalidInputError, Violation
from tanagertrail.outcomes import Outcome
from tanagertrail.registry import Registry
from tanagertrail.testing import Cluster
from tanagertrail.upstreams.engine import EngineSettings

SETTLE_SECONDS = 15.0
COMPARISONS = {
    ">=": operator.ge,
    "<=": operator.le,
    "==": operator.eq,
    ">": operator.gt,
    "<": operator.lt,
}


class ScenarioError(InvalidInputError):
    """A line of a scenario breaks a rule."""


class Action(NamedTuple):
    """Something that happens at a time, in seconds from the start."""

    at: float
    verb: str
    words: tuple[str, ...]


class Expectation(NamedTuple):
    """A bound that a measure must keep."""

    measure: str
    argument: str
    comparison: str
    bound: float


@dataclass
class Scenario:
    """A parsed scenario."""

    sizes: dict[str, float] = field(default_factory=dict)
    actions: list[Action] = field(default_factory=list)
    expectations: list[Expectation] = field(default_factory=list)


class ScenarioResult(NamedTuple):
    """What a scenario measured and which expectations failed."""

    measures: dict[str, float]
    failures: tuple[str, ...]


@dataclass
class Run:
    """The state of a running scenario."""

    cluster: Cluster
    rng: random.Random
    outcomes: list[tuple[float, Outcome]] = field(default_factory=list)
    late: int = 0
    tasks: list[asyncio.Task] = field(default_factory=list)
    stopping: bool = False
    jobs: list[str] = field(default_factory=list)
    notes: dict[str, float] = field(default_factory=dict)


Verb = Callable[[Run, tuple[str, ...]], Awaitable[None]]
VERBS: Registry[Verb] = Registry("verb")
Measure = Callable[[Run, str], float]
MEASURES: Registry[Measure] = Registry("measure")


def parse_scenario(text: str) -> Scenario:
    """Parse a scenario.

    :raises ScenarioError: naming the line and the rule
    """
    scenario = Scenario()
    for number, line in enumerate(text.splitlines(), 1):
        words = shlex.split(line, comments=True)
        if words:
            try:
                parse_line(scenario, words)
            except (ValueError, KeyError, IndexError) as error:
                rule = "must be a setting, an action or an expectation"
                raise ScenarioError([Violation(f"line {number}", rule, str(error))]) from error
    scenario.actions.sort(key=lambda action: action.at)
    return scenario


def parse_line(scenario: Scenario, words: list[str]) -> None:
    """Parse one line into the scenario."""
    match words:
        case ["cluster", *settings]:
            scenario.sizes.update(parse_options(settings))
        case ["at", time, verb, *rest]:
            VERBS.get(verb)
            scenario.actions.append(Action(float(time), verb, tuple(rest)))
        case ["expect", measure, comparison, bound]:
            add_expectation(scenario, measure, "", comparison, bound)
        case ["expect", measure, argument, comparison, bound]:
            add_expectation(scenario, measure, argument, comparison, bound)
        case _:
            raise ValueError(" ".join(words))


def add_expectation(
    scenario: Scenario, measure: str, argument: str, comparison: str, bound: str
) -> None:
    """Add an expectation to the scenario."""
    MEASURES.get(measure)
    if comparison not in COMPARISONS:
        raise ValueError(f"comparison {comparison}")
    scenario.expectations.append(Expectation(measure, argument, comparison, float(bound)))


def parse_options(words: tuple[str, ...] | list[str]) -> dict[str, float]:
    """Parse ``name=value`` words with numbers as values."""
    options = {}
    for word in words:
        name, _, value = word.partition("=")
        number = float(value)
        options[name] = int(number) if number.is_integer() else number
    return options


async def run_scenario(scenario: Scenario) -> ScenarioResult:
    """Run a scenario and measure its expectations."""
    sizes = dict(scenario.sizes)
    seed = int(sizes.pop("seed", 1))
    engine_fields = {
        name: sizes.pop(name) for name in list(sizes) if name in EngineSettings._fields
    }
    cluster = Cluster(engine=EngineSettings(**engine_fields), **sizes)
    await cluster.start()
    run = Run(cluster, random.Random(seed))
    began = asyncio.get_running_loop().time()
    for action in scenario.actions:
        await asyncio.sleep(max(began + action.at - asyncio.get_running_loop().time(), 0))
        await VERBS.get(action.verb)(run, action.words)
    run.stopping = True
    await asyncio.gather(*run.tasks)
    await asyncio.sleep(SETTLE_SECONDS)
    return judge(run, scenario.expectations)


def judge(run: Run, expectations: list[Expectation]) -> ScenarioResult:
    """Measure and compare each expectation."""
    measures, failures = {}, []
    for item in expectations:
        name = f"{item.measure} {item.argument}".strip()
        value = measures[name] = MEASURES.get(item.measure)(run, item.argument)
        if not COMPARISONS[item.comparison](value, item.bound):
            failures.append(f"{name} is {value:g}, expected {item.comparison} {item.bound:g}")
    return ScenarioResult(measures, tuple(failures))
