"""A model of a batching engine: steps, chunked prefill, prefix cache, waiting queue."""

__all__ = ["EngineModel", "EngineShape", "Job"]

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import NamedTuple


class EngineShape(NamedTuple):
    """What an engine does in a time; the defaults are those of the users' engines.

    :ivar batch: requests that run at once
    :ivar step: seconds of a step in which each running request makes a token
    :ivar context_step: seconds that 1,000 tokens of context add to a step
    :ivar read_rate: prompt tokens that are read in a second
    :ivar chunk: most prompt tokens that are read between two tokens of the others
    :ivar memory: tokens that running requests and kept parts share
    """

    batch: int = 48
    step: float = 0.0022
    context_step: float = 0.0000175
    read_rate: float = 140_000.0
    chunk: int = 2048
    memory: int = 444_000


@dataclass
class Job:
    """A request at an engine.

    :ivar parts: (id, tokens) of the prompt's parts in order
    :ivar out: tokens of the answer
    :ivar unread: prompt tokens that are still to be read
    :ivar first_at: virtual time in seconds of the first token, None before it
    """

    number: int
    parts: tuple[tuple[str, int], ...]
    out: int
    arrived: float
    unread: int = 0
    made: int = 0
    first_at: float | None = None
    ended_at: float | None = None

    @property
    def tokens(self) -> int:
        """Return the tokens of the prompt."""
        return sum(tokens for _, tokens in self.parts)

    @property
    def held(self) -> int:
        """Return the tokens that it holds in memory."""
        return self.tokens - self.unread + self.made


@dataclass
class EngineModel:
    """One engine; ``advance`` makes one step.

    :ivar kept: tokens of the parts that are kept, the least recently used first
    :ivar read: prompt tokens that were read
    :ivar found: prompt tokens that were kept from earlier requests
    :ivar named_rate: requests per second that it accepts, named in its answers; None for no limit
    """

    name: str
    domain: str
    shape: EngineShape = EngineShape()
    running: list[Job] = field(default_factory=list)
    waiting: deque[Job] = field(default_factory=deque)
    kept: OrderedDict[str, int] = field(default_factory=OrderedDict)
    read: int = 0
    found: int = 0
    busy: bool = False
    lost: bool = False
    named_rate: float | None = None

    @property
    def load(self) -> int:
        """Return the requests that run or wait."""
        return len(self.running) + len(self.waiting)

    def take(self, job: Job) -> None:
        """Take a request."""
        self.waiting.append(job)
        self.admit()

    def lose(self) -> list[Job]:
        """Lose the engine and return the requests that were there, to be sent anew."""
        self.lost = True
        jobs = [*self.running, *self.waiting]
        self.running = []
        self.waiting.clear()
        for job in jobs:
            job.unread = job.made = 0
        return jobs

    def admit(self) -> None:
        """Let waiting requests run while there is room."""
        while self.waiting and len(self.running) < self.shape.batch:
            job = self.waiting[0]
            reserved = sum(other.tokens + other.out for other in self.running)
            if reserved + job.tokens + job.out > self.shape.memory and self.running:
                return
            self.waiting.popleft()
            cached = self.count_cached(job)
            self.found += cached
            job.unread = max(job.tokens - cached, 1)
            self.running.append(job)

    def count_held(self) -> int:
        """Return the tokens that running requests hold."""
        return sum(job.held for job in self.running)

    def count_cached(self, job: Job) -> int:
        """Return the leading tokens that are kept, and note their use."""
        cached = 0
        for part, tokens in job.parts:
            if part not in self.kept:
                break
            self.kept.move_to_end(part)
            cached += tokens
        return cached

    def plan_step(self) -> tuple[float, list[tuple[Job, int]]]:
        """Return the seconds of the next step and what it reads of which prompt."""
        room = self.shape.chunk
        reads = []
        for job in self.running:
            if job.unread and room:
                amount = min(job.unread, room)
                reads.append((job, amount))
                room -= amount
        context = self.count_held() / 1000
        seconds = self.shape.step + self.shape.context_step * context
        seconds += (self.shape.chunk - room) / self.shape.read_rate
        return seconds, reads

    def finish_step(self, reads: list[tuple[Job, int]], now: float) -> list[Job]:
        """Take the end of a step and return the requests that ended with it."""
        for job in self.running:
            if job.unread == 0:
                job.made += 1
        for job, amount in reads:
            job.unread -= amount
            self.read += amount
            if job.unread == 0:
                job.first_at = now
                job.made = 1
                self.keep(job)
        ended = [job for job in self.running if job.unread == 0 and job.made >= job.out]
        for job in ended:
            job.ended_at = now
        self.running = [job for job in self.running if job.ended_at is None]
        self.admit()
        return ended

    def keep(self, job: Job) -> None:
        """Keep the parts of a prompt, and let the least recently used ones go."""
        for part, tokens in job.parts:
            self.kept[part] = tokens
            self.kept.move_to_end(part)
        room = self.shape.memory - self.count_held()
        while self.kept and sum(self.kept.values()) > max(room, 0):
            self.kept.popitem(last=False)
