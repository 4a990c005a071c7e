"""Experiment: the sum of work in flight at each upstream, from all daemons, against its bound."""

__all__ = ["LimitsResult", "run_limits"]

import asyncio
import random
from typing import NamedTuple

from tanagertrail.core.node import Node
from tanagertrail.outcomes import Answered
from tanagertrail.testing import Cluster
from tanagertrail.upstreams.engine import EngineSettings

WARM_UP_SECONDS = 20.0
ANSWER_TOKENS = 24
SAMPLE_SECONDS = 0.25
CALLER_TIMEOUT_SECONDS = 30.0


class LimitsResult(NamedTuple):
    """What one run measured.

    :ivar overshoot: most requests in flight over what an engine bore, in all engines
    :ivar utilisation: requests in flight as a share of all slots, mean after warm-up
    :ivar bytes_per_second: control bytes that a daemon sent in a second, mean
    """

    daemons: int
    replicas: int
    load: float
    overshoot: int
    utilisation: float
    answered: int
    refused: int
    bytes_per_second: float


class ClosedLoad:
    """Callers that each ask again as soon as they are answered."""

    def __init__(self, cluster: Cluster, callers: int, seed: int) -> None:
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.answered = 0
        self.refused = 0
        self.stopping = False
        nodes = list(cluster.nodes.values())
        self.tasks = [
            asyncio.create_task(self.run(nodes[index % len(nodes)])) for index in range(callers)
        ]

    async def run(self, node: Node) -> None:
        """Ask again and again."""
        await asyncio.sleep(self.rng.random())
        while not self.stopping:
            request = self.cluster.build_request(
                tokens=self.rng.randint(ANSWER_TOKENS // 2, ANSWER_TOKENS * 2),
                timeout=CALLER_TIMEOUT_SECONDS,
            )
            outcome, _ = await self.cluster.send_request(request, node)
            if isinstance(outcome, Answered):
                self.answered += 1
            else:
                self.refused += 1
                await asyncio.sleep(outcome.retry_after or 1.0)

    async def stop(self) -> None:
        """Let the callers finish."""
        self.stopping = True
        await asyncio.gather(*self.tasks)


def count_sent(cluster: Cluster) -> int:
    """Count the bytes that all daemons have sent."""
    return sum(
        sum(node.dependencies.transport.bytes_sent.values()) for node in cluster.nodes.values()
    )


async def run_limits(
    daemons: int, replicas: int, load: float = 1.2, seconds: float = 20.0, seed: int = 1
) -> LimitsResult:
    """Run callers against a cluster and sample the engines.

    :param load: callers as a share of all slots
    :param seconds: time sampled after the warm-up
    """
    engine = EngineSettings(noise=0.1, warm_up=2.0)
    cluster = Cluster(daemons=daemons, replicas=replicas, slots=8, cold_slots=2, engine=engine)
    await cluster.start()
    models = [item for name, item in cluster.engines.items() if name.startswith("dial")]
    slots = sum(item.upstream.slots for item in models)
    callers = ClosedLoad(cluster, round(load * slots), seed)
    await asyncio.sleep(WARM_UP_SECONDS)
    sent = count_sent(cluster)
    samples = []
    for _ in range(round(seconds / SAMPLE_SECONDS)):
        await asyncio.sleep(SAMPLE_SECONDS)
        samples.append(sum(item.in_flight for item in models) / slots)
    sent = count_sent(cluster) - sent
    await callers.stop()
    return LimitsResult(
        daemons,
        replicas,
        load,
        cluster.max_overshoot(),
        sum(samples) / len(samples),
        callers.answered,
        callers.refused,
        sent / seconds / daemons,
    )
