"""Actions of scenarios."""

import asyncio

from tanagertrail.core.requests import CallerRequest
from tanagertrail.errors import Violation
from tanagertrail.model import FailureDomain, Service, Target, Version
from tanagertrail.outcomes import Answered, Failed, NotRun, Outcome, Step, Unknown
from tanagertrail.policy.tickets import Ticket
from tanagertrail.scenarios.language import VERBS, Run, ScenarioError, parse_options
from tanagertrail.upstreams.engine import EngineFaults


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
    return await run.cluster.send_request(request, node)


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
    await run.cluster.kill_node(words[0], remove_instance="gone" in words[1:])


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
    await run.cluster.first_node.commit_ticket(ticket)
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
    known = cluster.first_node.configuration.current.services["dial"]
    versions = {known.current: known.versions[known.current], name: Version(upstreams=upstreams)}
    target = Target(version=name, within=options["within"], watch=options["watch"])
    service = Service(versions=versions, current=known.current, target=target)
    await cluster.first_node.commit_ticket(Ticket(services={"dial": service}))


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
