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

from tanagertrail.core.requests import CallerRequest
from tanagertrail.errors import InvalidInputError, Violation
from tanagertrail.model import FailureDomain, Service, Target, Version
from tanagertrail.outcomes import Answered, Failed, NotRun, Outcome, Step, Unknown
from tanagertrail.policy.tickets import Ticket
from tanagertrail.registry import Registry
from tanagertrail.testing import Cluster
from tanagertrail.upstreams.engine import EngineFaults, EngineSettings

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


@VERBS.register("load")
async def start_load(run: Run, words: tuple[str, ...]) -> None:
    """Ask a service at a rate: ``load dial rate=20 tokens=8 timeout=20 seconds=30``."""
    service, *rest = words
    options = {"rate": 5, "tokens": 8, "timeout": 20, "seconds": 20, **parse_options(rest)}
    run.tasks.append(asyncio.create_task(keep_load(run, service, options)))


async def keep_load(run: Run, service: str, options: dict[str, float]) -> None:
    """Send requests at random times until the load ends."""
    loop = asyncio.get_running_loop()
    end = loop.time() + options["seconds"]
    asked = []
    while loop.time() < end:
        await asyncio.sleep(run.rng.expovariate(options["rate"]))
        asked.append(asyncio.create_task(ask_once(run, service, options)))
    await asyncio.gather(*asked)


async def ask_once(run: Run, service: str, options: dict[str, float]) -> None:
    """Send one request to a daemon that the system names, and keep its outcome."""
    loop = asyncio.get_running_loop()
    timeout = options["timeout"]
    if service == "desk":
        request = run.cluster.build_call(timeout=timeout)
    else:
        request = run.cluster.build_request(service, options["tokens"], timeout)
    outcome, body = await ask_any(run, request)
    while isinstance(outcome, Unknown) and outcome.step is Step.ADDRESS:
        outcome, body = await ask_any(run, request)
    short = isinstance(outcome, Answered) and request.streamed
    if short and body.count(b"data: ") != options["tokens"]:
        outcome = Failed(outcome.step, outcome.peer, "short answer passed as whole")
    run.late += loop.time() > request.deadline + 0.1
    run.outcomes.append((loop.time(), outcome))


async def ask_any(run: Run, request: CallerRequest) -> tuple[Outcome, bytes]:
    """Send a request to a daemon that is ready; callers whose daemon is lost do so again."""
    node = run.rng.choice([item for item in run.cluster.nodes.values() if item.ready])
    return await run.cluster.ask(request, node)


@VERBS.register("crash")
async def crash(run: Run, words: tuple[str, ...]) -> None:
    """Crash upstreams: ``crash dial-1``."""
    for name in words:
        run.cluster.engines[name].crash()


@VERBS.register("revive")
async def revive(run: Run, words: tuple[str, ...]) -> None:
    """Bring upstreams back in cold start."""
    for name in words:
        run.cluster.engines[name].revive()


@VERBS.register("cold")
async def turn_cold(run: Run, words: tuple[str, ...]) -> None:
    """Turn an upstream cold without a word: ``cold dial-1 10``."""
    run.cluster.engines[words[0]].turn_cold(float(words[1]))


@VERBS.register("slow")
async def slow_down(run: Run, words: tuple[str, ...]) -> None:
    """Slow upstreams down by a factor: ``slow 3 dial2-1``."""
    for name in words[1:]:
        run.cluster.engines[name].faults.slow = float(words[0])


@VERBS.register("kill")
async def kill(run: Run, words: tuple[str, ...]) -> None:
    """Kill a daemon; with ``gone`` its instance goes too."""
    await run.cluster.kill_node(words[0], gone="gone" in words[1:])


@VERBS.register("start")
async def start(run: Run, words: tuple[str, ...]) -> None:
    """Start a daemon: ``start entry-2``."""
    await run.cluster.start_node(words[0])


@VERBS.register("drain")
async def drain(run: Run, words: tuple[str, ...]) -> None:
    """Stop a daemon gracefully, in the background."""

    async def stop() -> None:
        node = run.cluster.nodes[words[0]]
        await node.drain()
        run.cluster.nodes.pop(words[0])
        await node.stop()

    run.tasks.append(asyncio.create_task(stop()))


@VERBS.register("isolate")
async def isolate(run: Run, words: tuple[str, ...]) -> None:
    """Cut daemons from all others."""
    run.cluster.network.isolated.update(words)


@VERBS.register("pause")
async def pause(run: Run, words: tuple[str, ...]) -> None:
    """Hold back all messages to daemons."""
    for name in words:
        run.cluster.network.pause(name)


@VERBS.register("resume")
async def resume(run: Run, words: tuple[str, ...]) -> None:
    """Deliver what was held back."""
    for name in words:
        run.cluster.network.resume(name)


@VERBS.register("cut_store")
async def cut_store(run: Run, words: tuple[str, ...]) -> None:
    """Cut daemons from the object API."""
    run.cluster.store.faults.cut_clients.update(words)


@VERBS.register("heal")
async def heal(run: Run, words: tuple[str, ...]) -> None:
    """Undo all cuts."""
    run.cluster.network.heal()
    run.cluster.store.faults.cut_clients.clear()


@VERBS.register("store")
async def set_store(run: Run, words: tuple[str, ...]) -> None:
    """Change the object API: ``store down``, ``store up``, ``store slow 0.5``, ``store lose 3``."""
    faults = run.cluster.store.faults
    match words:
        case ("down",):
            faults.outage = True
        case ("up",):
            faults.outage = False
            faults.latency = 0.0
        case ("slow", seconds):
            faults.latency = float(seconds)
        case ("lose", count):
            faults.lose_answers = int(count)
        case _:
            raise ScenarioError([Violation("store", "must be down, up, slow or lose", str(words))])


@VERBS.register("domain")
async def set_domain(run: Run, words: tuple[str, ...]) -> None:
    """Take a failure domain out or in by ticket: ``domain otaru out``."""
    ticket = Ticket(failure_domains={words[0]: FailureDomain(state=words[1])})
    await run.cluster.first.commit_ticket(ticket)
    run.notes[f"{words[0]} {words[1]}"] = asyncio.get_running_loop().time()


@VERBS.register("reclaim")
async def reclaim(run: Run, words: tuple[str, ...]) -> None:
    """Give notice to upstreams and crash them when it ends: ``reclaim 3 dial-1 dial-2``."""
    seconds = float(words[0])
    loop = asyncio.get_running_loop()
    for name in words[1:]:
        run.cluster.cloud.give_notice(name, seconds)
        loop.call_later(seconds, run.cluster.engines[name].crash)


@VERBS.register("version")
async def add_version(run: Run, words: tuple[str, ...]) -> None:
    """Move ``dial`` to a new version: ``version v2 within=30 replicas=4 slow=1 fail=0``."""
    name, *rest = words
    options = {"within": 30, "replicas": 4, "slow": 1, "watch": 5, **parse_options(rest)}
    cluster = run.cluster
    port = 9100 + len(cluster.engines)
    upstreams = cluster.build_upstreams(f"dial{name}", int(options["replicas"]), port)
    for upstream in upstreams:
        cluster.engines[upstream.name].faults = EngineFaults(slow=options["slow"])
    known = cluster.first.configuration.current.services["dial"]
    versions = {known.current: known.versions[known.current], name: Version(upstreams=upstreams)}
    target = Target(version=name, within=options["within"], watch=options["watch"])
    service = Service(versions=versions, current=known.current, target=target)
    await cluster.first.commit_ticket(Ticket(services={"dial": service}))


@VERBS.register("job")
async def file_jobs(run: Run, words: tuple[str, ...]) -> None:
    """File durable jobs at a daemon: ``job entry-1 5 tokens=20``."""
    options = {"tokens": 20, **parse_options(words[2:])}
    for _ in range(int(words[1])):
        request = run.cluster.build_request(tokens=options["tokens"], timeout=60.0)
        view = await run.cluster.nodes[words[0]].accept_job(request)
        if not isinstance(view, NotRun):
            run.jobs.append(view.job_id)


@VERBS.register("wait")
async def wait(run: Run, words: tuple[str, ...]) -> None:
    """Do nothing until this time."""


def count_share(run: Run, *kinds: type) -> float:
    """Return the share of outcomes of some kinds."""
    matching = sum(isinstance(outcome, kinds) for _, outcome in run.outcomes)
    return matching / max(len(run.outcomes), 1)


@MEASURES.register("answered")
def measure_answered(run: Run, argument: str) -> float:
    """Return the share of requests that were answered in full."""
    return count_share(run, Answered)


@MEASURES.register("refused")
def measure_refused(run: Run, argument: str) -> float:
    """Return the share of requests that were truthfully refused."""
    return count_share(run, NotRun)


@MEASURES.register("broken")
def measure_broken(run: Run, argument: str) -> float:
    """Return the number of requests that ran but were not answered in full."""
    return sum(isinstance(outcome, Failed | Unknown) for _, outcome in run.outcomes)


@MEASURES.register("requests")
def measure_requests(run: Run, argument: str) -> float:
    """Return the number of requests."""
    return len(run.outcomes)


@MEASURES.register("late")
def measure_late(run: Run, argument: str) -> float:
    """Return the number of outcomes that came after their deadline."""
    return run.late


@MEASURES.register("overshoot")
def measure_overshoot(run: Run, argument: str) -> float:
    """Return the most by which an engine was over what it bears."""
    return run.cluster.max_overshoot()


@MEASURES.register("falls")
def measure_falls(run: Run, argument: str) -> float:
    """Return the number of engine crashes."""
    return sum(engine.falls for engine in run.cluster.engines.values())


@MEASURES.register("attempts")
def measure_attempts(run: Run, argument: str) -> float:
    """Return the dispatches per request."""
    sent = sum(node.recorder.counters["dispatch"] for node in run.cluster.nodes.values())
    return sent / max(len(run.outcomes), 1)


@MEASURES.register("started")
def measure_started(run: Run, argument: str) -> float:
    """Return the requests that engines with a name prefix began."""
    engines = run.cluster.engines.items()
    return sum(e.started.total() for name, e in engines if name.startswith(argument))


@MEASURES.register("phase")
def measure_phase(run: Run, argument: str) -> float:
    """Return 1 if the last move of ``dial`` is in a phase on every daemon, such as ``done``."""
    states = [node.traffic.states.get("dial") for node in run.cluster.nodes.values()]
    wanted = argument.replace("_", " ")
    return float(all(state is not None and state.phase == wanted for state in states))


@MEASURES.register("jobs_done")
def measure_jobs_done(run: Run, argument: str) -> float:
    """Return the share of accepted jobs that some daemon holds as done."""
    records = [node.jobs.jobs for node in run.cluster.nodes.values()]
    done = sum(
        any(job in jobs and jobs[job].state == "done" for jobs in records) for job in run.jobs
    )
    return done / max(len(run.jobs), 1)


@MEASURES.register("jobs")
def measure_jobs(run: Run, argument: str) -> float:
    """Return the number of accepted jobs."""
    return len(run.jobs)


@MEASURES.register("late_dispatches")
def measure_late_dispatches(run: Run, argument: str) -> float:
    """Return the dispatches to a failure domain more than 3 s after it was taken out."""
    out_at = run.notes[f"{argument} out"]
    in_at = run.notes.get(f"{argument} in", float("inf"))
    count = 0
    for node in run.cluster.nodes.values():
        for event in node.recorder.events:
            engine = run.cluster.engines.get(event.upstream)
            inside = engine is not None and engine.upstream.failure_domain == argument
            count += event.kind == "dispatch" and inside and out_at + 3 < event.at < in_at
    return count


@MEASURES.register("ticket_spread")
def measure_ticket_spread(run: Run, argument: str) -> float:
    """Return the number of different tickets in force on the daemons, 1 if all agree."""
    return len({node.configuration.current.number for node in run.cluster.nodes.values()})
