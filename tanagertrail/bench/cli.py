"""The bench command line, which only parses and prints."""

__all__ = ["main"]

import asyncio
import json
import signal

import fire

from tanagertrail.bench.build import build_model_ticket
from tanagertrail.bench.streams import StreamLoad, run_stream_load
from tanagertrail.bench.tables import format_table
from tanagertrail.model import Upstream
from tanagertrail.policy.tickets import serialize_ticket
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
        counts = streams if isinstance(streams, tuple) else (streams,)
        results = []
        for count in counts:
            load = StreamLoad(address, "dial", int(count), tokens, rounds, pid)
            results.append(asyncio.run(run_stream_load(load)))
        print(format_json(results) if json else format_table(results))


def format_json(rows: list) -> str:
    """Format rows as JSON."""
    return json.dumps([row._asdict() for row in rows], indent=2)


def main() -> None:
    """Run the bench command line."""
    fire.Fire(Commands, name="tanagertrail-bench")


if __name__ == "__main__":
    main()
