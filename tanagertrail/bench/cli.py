"""The bench command line, which only parses and prints."""

__all__ = ["main"]

import asyncio
import json
import signal
import sys
from pathlib import Path

import fire

from tanagertrail.bench.build import build_model_ticket
from tanagertrail.bench.cold import run_cold
from tanagertrail.bench.decisions import PROMPTS, run_decisions
from tanagertrail.bench.hubs import run_hubs
from tanagertrail.bench.journals import run_journal
from tanagertrail.bench.limits import run_limits
from tanagertrail.bench.matrix import format_matrix, iter_cells, run_cell
from tanagertrail.bench.parts import run_parts
from tanagertrail.bench.plots import write_limits_plot, write_load_plot
from tanagertrail.bench.prefixes import run_prefixes
from tanagertrail.bench.questions import run_questions
from tanagertrail.bench.rates import DIVISIONS, run_rates
from tanagertrail.bench.scale import run_scale, run_spread
from tanagertrail.bench.schedules import run_schedules
from tanagertrail.bench.streams import StreamLoad, run_stream_load
from tanagertrail.bench.tables import format_table
from tanagertrail.bench.uneven import run_uneven
from tanagertrail.emulator.load import LoadSettings, play_load
from tanagertrail.emulator.uneven import UnevenSettings
from tanagertrail.model import Upstream
from tanagertrail.policy.batching import BATCHINGS
from tanagertrail.policy.shared_rate import NAMED_RATE_BOUND
from tanagertrail.policy.tickets import serialize_ticket
from tanagertrail.scenarios import parse_scenario, run_scenario
from tanagertrail.testing import run_in_virtual_time
from tanagertrail.upstreams.engine import EngineSettings, ToyEngine
from tanagertrail.upstreams.toy import ToyServer

UPSTREAM_SECONDS = 600.0


async def serve_upstreams(upstreams: tuple[Upstream, ...], gap: float) -> None:
    """Serve toy upstreams until a signal comes or the time is over."""
    engine = EngineSettings(first_token=gap, token_gap=gap)
    servers = [ToyServer(ToyEngine(item, engine), item.slots + 4) for item in upstreams]
    for server in servers:
        server.start()
    print("serving", flush=True)
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    try:
        async with asyncio.timeout(UPSTREAM_SECONDS):
            await stopped.wait()
    except TimeoutError:
        print("time is over")
    for server in servers:
        await asyncio.to_thread(server.stop)


def build_upstreams(count: int, slots: int, port: int) -> tuple[Upstream, ...]:
    """Build the upstreams of a relay bench."""
    return tuple(
        Upstream(
            name=f"dial-{index}",
            address=f"127.0.0.1:{port + index}",
            failure_domain="bench",
            slots=slots,
            cold_slots=slots,
        )
        for index in range(count)
    )


class Commands:
    """Measure tanagertrail."""

    def upstreams(
        self, count: int = 8, slots: int = 64, port: int = 9100, gap: float = 0.028
    ) -> None:
        """Serve toy upstreams for a relay bench."""
        asyncio.run(serve_upstreams(build_upstreams(count, slots, port), gap))

    def ticket(self, count: int = 8, slots: int = 64, port: int = 9100) -> None:
        """Print the ticket that creates the service of a relay bench."""
        print(serialize_ticket(build_model_ticket(build_upstreams(count, slots, port))).decode())

    def streams(
        self,
        address: str,
        streams: str = "50,150,300,450",
        tokens: int = 150,
        rounds: int = 2,
        pid: int = 0,
        json: bool = False,
    ) -> None:
        """Load ADDRESS with streamed answers and print the relay table."""
        results = []
        for count in as_tuple(streams):
            load = StreamLoad(address, "dial", int(count), tokens, rounds, pid)
            results.append(asyncio.run(run_stream_load(load)))
        print(format_json(results) if json else format_table(results))

    def questions(
        self, address: str, connections: int = 16, seconds: float = 5.0, pid: int = 0
    ) -> None:
        """Load ADDRESS with address questions and print how many it answers."""
        result = asyncio.run(run_questions(address, connections, seconds, pid))
        print(format_table([result]))

    def limits(self, daemons: int = 9, replicas: int = 10, loads: str = "0.5,1,1.2,2") -> None:
        """Print work in flight against the limits of upstreams, by load."""
        rows = [
            run_in_virtual_time(run_limits(daemons, replicas, load)) for load in as_tuple(loads)
        ]
        print(format_table(rows))

    def scale(self, sizes: str = "9,20,40", upstreams_each: int = 6) -> None:
        """Print the costs of a quiet fleet, by number of daemons."""
        rows = [run_in_virtual_time(run_scale(n, n * upstreams_each)) for n in as_tuple(sizes)]
        print(format_table(rows))

    def hubs(self, sizes: str = "8,67,150,380", upstreams: int = 2400, paces: bool = True) -> None:
        """Print what gateway daemons send each other, by number of daemons.

        :param paces: whether they tell what they learned of upstreams
        """
        rows = [asyncio.run(run_hubs(n, upstreams, paces)) for n in as_tuple(sizes)]
        print(format_table(rows))

    def decisions(
        self,
        placements: str = '"expected_cost","expected_finish"',
        upstreams: int = 45,
    ) -> None:
        """Print the processor time of a decision, by placement and kind of prompt."""
        rows = [
            run_decisions(placement, prompt, upstreams)
            for placement in as_tuple(placements)
            for prompt in PROMPTS
        ]
        print(format_table(rows))

    def load(
        self,
        patterns: str = '"wave","burst","hot_key","reclaim"',
        placements: str = '"expected_cost","own_hints","least_running"',
        daemons: int = 67,
        engines: int = 30,
        rate: float = 350.0,
        seconds: float = 20.0,
        seed: int = 1,
        plot: str = "",
    ) -> None:
        """Print what load patterns come to with placements, in an emulator of engines.

        :param patterns: names of patterns, with commas
        :param placements: names of placements, with commas
        :param plot: file to write a plot of the credit to
        """
        rows = [
            play_load(
                LoadSettings(
                    pattern, placement, daemons, engines, rate=rate, seconds=seconds, seed=seed
                )
            )
            for pattern in as_tuple(patterns)
            for placement in as_tuple(placements)
        ]
        print(format_table(rows))
        if plot:
            write_load_plot(str(plot), rows)

    def uneven(
        self,
        deployments: str = '"A","B"',
        placements: str = '"expected_cost","expected_finish"',
        seeds: int = 10,
        load: float = 1.0,
        stated: str = "slowdown",
        shares: bool = True,
    ) -> None:
        """Print what placements come to where engines are uneven, by kind of request.

        :param load: multiple of the deployment's usual load
        :param stated: what engines state: ``nothing``, ``load``, or ``slowdown`` with the load
        :param shares: whether daemons tell each other what they learned
        """
        rows = [
            row
            for deployment in as_tuple(deployments)
            for placement in as_tuple(placements)
            for row in run_uneven(
                UnevenSettings(
                    deployment,
                    placement,
                    load=load,
                    states_load=stated != "nothing",
                    states_slowdown=stated == "slowdown",
                    shares=shares,
                ),
                seeds,
            )
        ]
        print(format_table(rows))

    def spread(self, sizes: str = "9,40,120", upstreams: int = 40) -> None:
        """Print how fast tickets and deaths become known, by number of daemons."""
        print(
            format_table([run_in_virtual_time(run_spread(n, upstreams)) for n in as_tuple(sizes)])
        )

    def journal(self, daemons: int = 9, rates: str = "5,50,500") -> None:
        """Print the ways to gather records into writes, by rate of jobs."""
        rows = [
            run_in_virtual_time(run_journal(name, daemons, rate))
            for rate in as_tuple(rates)
            for name in BATCHINGS
        ]
        print(format_table(rows))

    def cold(self, streams: str = "2,8", hours: float = 2.0) -> None:
        """Print false alarms and delay of the cold detector, by streams at one upstream."""
        print(format_table([run_cold(count, hours) for count in as_tuple(streams)]))

    def rates(
        self,
        sizes: str = "5,75,195,380",
        rates: str = "0.3,1.4,10",
        load: float = 1.5,
        idle: float = 0.0,
        window: float = 4.0,
    ) -> None:
        """Print what ways to divide a shared rate come to, by number of daemons.

        :param load: requests per second of callers at each daemon
        :param idle: seconds without callers before the load begins
        :param window: seconds of the bound's window
        """
        bound = NAMED_RATE_BOUND._replace(window=window)
        rows = [
            run_rates(division, daemons, rate, load, bound, idle)
            for daemons in as_tuple(sizes)
            for rate in as_tuple(rates)
            for division in DIVISIONS
        ]
        print(format_table(rows))

    def parts(
        self,
        sizes: str = "5,8,75,195,380",
        rates: str = "1,2,5",
        engines: float = 0.8,
        load: float = 9.0,
        seeds: int = 20,
        strays: float = 0.0,
    ) -> None:
        """Print how soon a part of prompts that crashes engines is refused, by number of daemons.

        :param rates: requests with the part per second, 0 for none
        :param engines: engines for each daemon
        :param load: sound requests per second at each daemon
        :param strays: crashes per second without a cause in requests
        """
        rows = [
            run_parts(daemons, round(daemons * engines), rate, daemons * load, strays, seeds)
            for daemons in as_tuple(sizes)
            for rate in as_tuple(rates)
        ]
        print(format_table(rows))

    def prefixes(self) -> None:
        """Print the tokens recomputed by each choice of upstream."""
        print(format_table(list(run_prefixes())))

    def calls(self, schedules: int = 100_000, first_seed: int = 0) -> None:
        """Print what seeded schedules of guarded calls broke."""
        print(format_table([run_in_virtual_time(run_schedules(schedules, first_seed))]))

    def matrix(self) -> None:
        """Print the fault matrix."""
        results = [run_in_virtual_time(run_cell(cell)) for cell in iter_cells()]
        for kind in ("stream", "call"):
            print(f"\n{kind}\n\n{format_matrix(results, kind)}")

    def scenario(self, file: str) -> None:
        """Run the scenario in FILE and print what it measured."""
        result = run_in_virtual_time(run_scenario(parse_scenario(Path(str(file)).read_text())))
        for name, value in result.measures.items():
            print(f"{name}: {value:g}")
        for failure in result.failures:
            print(f"FAILED {failure}")
        if result.failures:
            sys.exit(1)

    def plot(self, file: str = "limits.png") -> None:
        """Write a plot of utilisation by load."""
        write_limits_plot(str(file))


def as_tuple(value: object) -> tuple:
    """Return an option with commas as numbers; fire parses only what the caller gives."""
    if isinstance(value, str):
        return tuple(json.loads(f"[{value}]"))
    return value if isinstance(value, tuple) else (value,)


def format_json(rows: list) -> str:
    """Format rows as JSON."""
    return json.dumps([row._asdict() for row in rows], indent=2)


def main() -> None:
    """Run the bench command line."""
    fire.Fire(Commands, name="tanagertrail-bench")


if __name__ == "__main__":
    main()
