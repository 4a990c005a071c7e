"""Client of upstreams over HTTP: urllib3 up to the head, then the event loop moves the events."""

__all__ = ["HttpUpstreamClient"]

import asyncio
import json
from concurrent.futures import ThreadPoolExecutor

import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from tanagertrail.errors import UpstreamConnectError, UpstreamProtocolError, UpstreamRefusedError
from tanagertrail.model import Upstream
from tanagertrail.sinks import BaseSink
from tanagertrail.upstreams.base import (
    MAX_ANSWER_BYTES,
    Attempt,
    BaseUpstreamAnswer,
    BaseUpstreamClient,
    LoadReport,
    Order,
    OrderResult,
    PlainAnswer,
    RelayEnd,
    TokenObserver,
)
from tanagertrail.upstreams.chunks import ChunkDecoder
from tanagertrail.upstreams.events import EventChecker
from tanagertrail.upstreams.pump import SocketPump

CONNECT_TIMEOUT = 1.0
CONTROL_TIMEOUT = 2.0
HEADER_NOT_RUN = "X-Not-Run"
HEADER_RECOMPUTED = "X-Tokens-Recomputed"
OPEN_THREADS = 128
RELAY_THREADS = 600
READ_BYTES = 8192
CONNECTIONS_PER_UPSTREAM = 64


class HttpStreamAnswer(BaseUpstreamAnswer):
    """A streamed answer whose socket the event loop reads."""

    def __init__(
        self, attempt: Attempt, response: urllib3.BaseHTTPResponse, pump: SocketPump
    ) -> None:
        self.attempt = attempt
        self.response = response
        self.pump = pump
        self.streamed = True
        self.status = response.status
        self.content_type = "text/event-stream"
        self.sock = response.connection.sock
        self.sock.setblocking(False)
        self.buffered = take_buffered(response)
        self.checker = EventChecker(attempt.attempt_id, attempt.resume_from)
        self.decoder = ChunkDecoder()
        self.loop = asyncio.get_running_loop()
        self.done: asyncio.Future[RelayEnd] = self.loop.create_future()
        self.reading = False

    @property
    def next_sequence(self) -> int:
        """Return the number of tokens that the sink has."""
        return self.checker.next_sequence

    async def relay(self, sink: BaseSink, observe: TokenObserver) -> RelayEnd:
        """Move the checked events to the sink until the end."""
        self.sink = sink
        self.observe = observe
        if self.buffered:
            self.take(self.buffered)
        self.resume_reading()
        timer = self.loop.call_later(self.attempt.timeout, self.end, "the deadline has passed")
        try:
            return await self.done
        finally:
            timer.cancel()
            self.stop_reading()

    def resume_reading(self) -> None:
        """Let the event loop watch the socket unless the answer has ended."""
        if not self.done.done() and not self.reading:
            self.reading = True
            self.pump.add(self.sock, self.read)

    def stop_reading(self) -> None:
        """Stop watching the socket."""
        if self.reading:
            self.reading = False
            self.pump.remove(self.sock)

    def read(self) -> None:
        """Read what has come."""
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.end(f"reading failed: {error}", crashed=True)
            return
        if not data:
            self.end("the answer was cut", crashed=True)
            return
        if not self.take_single(data):
            self.take(data)

    def take_single(self, data: bytes) -> bool:
        """Pass on data that is one chunk with exactly the next token; return whether it is."""
        start = self.decoder.find_single(data)
        if not start or not self.checker.is_single(data, start, len(data) - 2):
            return False
        self.checker.accept_next()
        self.sink.write_chunk(data, start)
        self.observe(1, self.loop.time(), data[start:-2])
        self.check_sink()
        return True

    def take(self, data: bytes) -> None:
        """Check bytes and pass on what holds."""
        checker = self.checker
        before = checker.next_sequence
        try:
            passed = checker.feed(self.decoder.feed(data))
        except UpstreamProtocolError as error:
            self.end(str(error))
            return
        if passed:
            self.sink.write(passed)
            self.observe(checker.next_sequence - before, self.loop.time(), passed)
        if checker.ended:
            self.finish_stream()
        elif self.decoder.ended:
            self.end("the answer has no end", crashed=True)
        else:
            self.check_sink()

    def check_sink(self) -> None:
        """End if the caller is gone; stop reading while it lags behind."""
        if self.sink.closed:
            self.end("the caller is gone", caller_gone=True)
        elif self.sink.full:
            self.stop_reading()
            self.waiting = asyncio.ensure_future(self.wait_sink())

    def finish_stream(self) -> None:
        """End the relaying of a whole answer once its last chunk has come too."""
        self.stop_reading()
        if not self.done.done():
            self.done.set_result(RelayEnd(True, self.checker.next_sequence))

    async def wait_sink(self) -> None:
        """Read on when the sink has room again."""
        await self.sink.drain()
        self.resume_reading()

    def end(self, reason: str, crashed: bool = False, caller_gone: bool = False) -> None:
        """End the relaying of an incomplete answer."""
        self.stop_reading()
        if not self.done.done():
            end = RelayEnd(False, self.checker.next_sequence, reason, crashed, caller_gone)
            self.done.set_result(end)

    async def close(self) -> None:
        """Keep the connection if the answer was read to its end, else close it."""
        self.stop_reading()
        if self.checker.ended and not self.decoder.ended:
            self.read_last_chunk()
        if self.checker.ended and self.decoder.ended:
            self.sock.setblocking(True)
            self.response._fp._close_conn()
            self.response.release_conn()
        else:
            self.response.connection.close()
            self.response.release_conn()

    def read_last_chunk(self) -> None:
        """Read the last chunk if it has come, so that the connection can be kept."""
        try:
            self.decoder.feed(self.sock.recv(READ_BYTES))
        except (OSError, UpstreamProtocolError):
            return


def take_buffered(response: urllib3.BaseHTTPResponse) -> bytes:
    """Take the bytes of the body that were read together with the head."""
    raw = response._fp.fp
    buffered = raw.peek()
    return raw.read1(len(buffered)) if buffered else b""


class ThreadStreamAnswer(BaseUpstreamAnswer):
    """A streamed answer that a thread reads and writes, kept as the baseline."""

    def __init__(
        self,
        attempt: Attempt,
        response: urllib3.BaseHTTPResponse,
        executor: ThreadPoolExecutor,
    ) -> None:
        self.response = response
        self.executor = executor
        self.streamed = True
        self.status = response.status
        self.checker = EventChecker(attempt.attempt_id, attempt.resume_from)
        self.loop = asyncio.get_running_loop()

    @property
    def next_sequence(self) -> int:
        """Return the number of tokens that the sink has."""
        return self.checker.next_sequence

    async def relay(self, sink: BaseSink, observe: TokenObserver) -> RelayEnd:
        """Move the checked events in a thread."""
        return await self.loop.run_in_executor(self.executor, self.move, sink, observe)

    def move(self, sink: BaseSink, observe: TokenObserver) -> RelayEnd:
        """Read chunks and write their events until the end."""
        checker = self.checker
        try:
            for chunk in self.response.read_chunked():
                before = checker.next_sequence
                passed = checker.feed(chunk)
                if passed:
                    sink.write(passed)
                    observe(checker.next_sequence - before, self.loop.time(), passed)
                if sink.closed:
                    reason = "the caller is gone"
                    return RelayEnd(False, checker.next_sequence, reason, caller_gone=True)
        except UpstreamProtocolError as error:
            return RelayEnd(False, checker.next_sequence, str(error))
        except (HTTPError, OSError) as error:
            return RelayEnd(False, checker.next_sequence, str(error), crashed=True)
        if not checker.ended:
            return RelayEnd(False, checker.next_sequence, "the answer has no end", crashed=True)
        return RelayEnd(True, checker.next_sequence)

    async def close(self) -> None:
        """Keep the connection if the answer was read to its end, else close it."""
        if not self.checker.ended:
            self.response.close()
        self.response.release_conn()


class HttpUpstreamClient(BaseUpstreamClient):
    """Reach upstreams over HTTP/1.1.

    :ivar relay: ``loop`` or ``threads``, which is the baseline
    """

    def __init__(self, relay: str = "loop") -> None:
        self.relay = relay
        self.pump: SocketPump | None = None
        self.relay_executor = ThreadPoolExecutor(RELAY_THREADS, thread_name_prefix="relay")
        self.pools = urllib3.PoolManager(
            num_pools=256, maxsize=CONNECTIONS_PER_UPSTREAM, retries=False
        )
        self.executor = ThreadPoolExecutor(OPEN_THREADS, thread_name_prefix="upstream")

    async def run(self, function, *arguments):
        """Run a blocking call in a thread."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self.executor, function, *arguments)

    async def open(self, attempt: Attempt) -> BaseUpstreamAnswer:
        """Send an attempt and wait for the head of its answer."""
        response = await self.run(self.send_attempt, attempt)
        if isinstance(response, PlainAnswer):
            return response
        if self.relay == "threads":
            return ThreadStreamAnswer(attempt, response, self.relay_executor)
        if self.pump is None:
            self.pump = SocketPump(asyncio.get_running_loop())
        return HttpStreamAnswer(attempt, response, self.pump)

    def send_attempt(self, attempt: Attempt):
        """Send an attempt from a thread; return a streamed response or a plain answer."""
        url = f"http://{attempt.upstream.address}{attempt.path}"
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT, read=attempt.timeout)
        try:
            response = self.pools.request(
                attempt.method,
                url,
                body=attempt.body,
                headers=build_headers(attempt),
                preload_content=False,
                timeout=timeout,
            )
            if response.headers.get("Content-Type", "").startswith("text/event-stream"):
                return response
            body = read_whole(response)
        except NewConnectionError as error:
            raise UpstreamConnectError(f"{attempt.upstream.name}: {error}") from error
        except urllib3.exceptions.ConnectTimeoutError as error:
            raise UpstreamConnectError(f"{attempt.upstream.name}: {error}") from error
        except (HTTPError, OSError) as error:
            raise UpstreamProtocolError(f"{attempt.upstream.name}: {error}") from error
        response.release_conn()
        if response.headers.get(HEADER_NOT_RUN) == "true":
            raise UpstreamRefusedError(f"{attempt.upstream.name}: refused")
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return PlainAnswer(response.status, content_type, body)

    async def read_load(self, upstream: Upstream) -> LoadReport:
        """Read a load report."""
        document = await self.run(self.send_control, upstream, "GET", "/engine/load", None)
        events = tuple(tuple(event) for event in document["cache_events"])
        return LoadReport(**{**document, "cache_events": events})

    async def send_order(self, upstream: Upstream, order: Order) -> OrderResult:
        """Send an order."""
        body = order._asdict()
        document = await self.run(self.send_control, upstream, "POST", "/engine/orders", body)
        return OrderResult(**document)

    def send_control(self, upstream: Upstream, method: str, path: str, body: object) -> dict:
        """Send a control call from a thread and return its JSON answer.

        :raises UpstreamConnectError: if it is not answered
        """
        encoded = json.dumps(body).encode() if body is not None else None
        url = f"http://{upstream.address}{path}"
        headers = {"Content-Type": "application/json"}
        try:
            response = self.pools.request(
                method,
                url,
                body=encoded,
                headers=headers,
                preload_content=False,
                timeout=CONTROL_TIMEOUT,
            )
            document = json.loads(read_whole(response))
            response.release_conn()
            return document
        except (HTTPError, OSError, ValueError, UpstreamProtocolError) as error:
            raise UpstreamConnectError(f"{upstream.name}: {error}") from error


def read_whole(response: urllib3.BaseHTTPResponse) -> bytes:
    """Read a plain answer from a thread.

    :raises UpstreamProtocolError: if it is longer than any answer may be
    """
    body = response.read(MAX_ANSWER_BYTES + 1)
    if len(body) > MAX_ANSWER_BYTES:
        response.close()
        raise UpstreamProtocolError(f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
    return body


def build_headers(attempt: Attempt) -> dict[str, str]:
    """Return the headers of an attempt."""
    headers = {
        "Content-Type": attempt.content_type,
        "X-Request-Id": attempt.attempt_id,
        "X-Priority": str(attempt.priority),
        "X-Timeout-Ms": str(int(attempt.timeout * 1000)),
        "X-Resume-From": str(attempt.resume_from),
        "X-Service": attempt.service,
        "X-Version": attempt.version,
    }
    if attempt.idempotency_key:
        headers["Idempotency-Key"] = attempt.idempotency_key
    return headers
