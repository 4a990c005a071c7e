"""Measures that scenarios expect bounds of."""

from tanagertrail.outcomes import Answered, Failed, NotRun, Unknown
from tanagertrail.scenarios.language import MEASURES, Run


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
    states = [node.traffic.rollout_states.get("dial") for node in run.cluster.nodes.values()]
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
