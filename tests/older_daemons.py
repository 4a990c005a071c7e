"""Daemons of older releases as tests build them: their forms are written out here, byte by byte."""

import asyncio
import struct
import zlib

import msgpack

from tanagertrail.daemons.peer_messages import DaemonState
from tanagertrail.daemons.releases import find_form_by_fields
from tanagertrail.errors import FrameError
from tanagertrail.gateway.members import Member
from tanagertrail.standins.ports import HOST, find_port

STATE_FIELDS = (
    *("daemon", "incarnation", "counter", "address", "front", "failure_domain", "strength"),
    *("serving", "lease_fencing", "lease_renewal", "store_reachable", "in_flight", "quota"),
    *("usage", "trials", "prompt_tokens", "age_ms", "upstream_losses"),
    "limits",
    *("cleared_parts", "suspected_parts", "completed"),
    *("reaches_upstreams", "carrier"),
    *("leaving", "brittle"),
)
STATE_COUNTS = (18, 19, 22, 24, 26)  # of the releases before the first that states its number
OLDEST_COUNT = STATE_COUNTS[0]
FIRST_COUNT_WITH_PARTS = 22  # whose losses hold the parts of prompts
FIRST_COUNT_WITH_LINKS = 24  # whose liveness records tell whether upstreams are reached
DEFAULTS = {
    **dict.fromkeys(STATE_FIELDS, ()),
    **{"daemon": "older", "incarnation": 5, "counter": 1, "failure_domain": "north"},
    **{"address": "127.0.0.1:9", "front": "127.0.0.1:10", "strength": 3, "serving": True},
    **{"lease_fencing": 0, "store_reachable": False, "age_ms": 0},
    **{"reaches_upstreams": True, "carrier": ""},
}
LOSS = (1, "up 1", "v", "north", ("fingerprint",), 5)
LOSS_WITH_PARTS = (1, "up 1", "v", "north", "desk", (("fingerprint", ("part",), 5, 5),), 5)


def build_row(count, **changes):
    """Return the state of an older daemon, as a row of its first fields."""
    losses = LOSS_WITH_PARTS if count >= FIRST_COUNT_WITH_PARTS else LOSS
    values = DEFAULTS | {"upstream_losses": (losses,)} | changes
    return tuple(values[name] for name in STATE_FIELDS[:count])


def pack(rows):
    """Return rows as older daemons pack them."""
    return zlib.compress(msgpack.packb(rows), 1)


def unpack(data):
    """Return the rows in packed bytes."""
    return msgpack.unpackb(zlib.decompress(data), use_list=False) if data else ()


def build_frame(kind, *fields):
    """Return a frame as older daemons send it, which states no release."""
    body = msgpack.packb([0, kind, list(fields)])
    return struct.pack(">I", len(body)) + body


async def read_fields(reader):
    """Read a frame and return its kind and fields."""
    (length,) = struct.unpack(">I", await reader.readexactly(4))
    _, kind, fields = msgpack.unpackb(await reader.readexactly(length), use_list=False)
    return kind, fields


class OlderDaemon:
    """A daemon of an older release, which refuses what its release refuses.

    :ivar count: number of fields of the states that it knows
    :ivar states: states that it read, as tables, oldest first
    :ivar refused: what it refused
    :ivar fields: fields of its own state
    """

    def __init__(self, count, **fields):
        self.count = count
        self.port = find_port()
        self.states = []
        self.refused = []
        self.fields = {"address": f"{HOST}:{self.port}"} | fields
        self.server = None
        self.counter = 0
        self.relayed = b""

    def build_registration(self):
        """Return what its release stores of a daemon."""
        names = ("daemon", "incarnation", "address", "front", "failure_domain", "strength")
        names += ("carrier",) * (self.count >= FIRST_COUNT_WITH_LINKS)
        values = DEFAULTS | self.fields
        return {name: values[name] for name in names}

    def pack_state(self):
        """Return its packed state."""
        self.counter += 1
        return pack([build_row(self.count, **self.fields, counter=self.counter)])

    async def start(self):
        """Listen for other daemons."""
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def serve(self, reader, writer):
        """Answer frames until one cannot be read."""
        try:
            while True:
                kind, fields = await read_fields(reader)
                writer.write(self.answer(kind, fields))
        except (OSError, asyncio.IncompleteReadError):
            pass
        except (TypeError, ValueError) as error:
            self.refused.append(repr(error))
        finally:
            writer.close()

    def answer(self, kind, fields):
        """Return the answer to a frame.

        :raises ValueError: if the frame has another form
        """
        if kind == "peer_news":
            _, revisions, _ = fields
            return build_frame("peer_receipt", revisions)
        state, from_hub, to_primary_hub, revisions = fields
        self.read_row(*unpack(state))
        own = self.pack_state()
        return build_frame("peer_answer", own, True, (), self.relayed, b"", (), b"", 0)

    def read_row(self, row):
        """Read a state as its release does.

        :raises ValueError: if it has another form
        """
        if len(row) > self.count:
            raise ValueError(f"a state has {len(row)} fields, not {self.count}")
        table = dict(zip(STATE_FIELDS, row, strict=False))
        loss_fields = 7 if self.count >= FIRST_COUNT_WITH_PARTS else 6
        if any(len(loss) != loss_fields for loss in table.get("upstream_losses", ())):
            raise ValueError("a loss has another form")
        self.states.append(table)

    async def ask(self, port, from_hub=True):
        """Send its state to a daemon and return the fields of the answer."""
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(build_frame("peer_question", self.pack_state(), from_hub, True, ()))
        try:
            _, fields = await read_fields(reader)
            return fields
        finally:
            writer.close()

    def close(self):
        """Stop listening."""
        if self.server is not None:
            self.server.close()


class OlderMember(Member):
    """A daemon of a release whose registrations name no carrier."""

    def encode(self, names_carrier=True):
        """Return the content of the stored registration."""
        return super().encode(names_carrier=False)


def make_older(node, count):
    """Have a gateway that has not started yet speak and read only the form of an older release.

    It greets nobody, states no release, and refuses states of more fields. Its decisions stay those
    of this release.
    """
    form = find_form_by_fields(count)
    sync, client = node.state_sync, node.peer_client
    build_request, read_state = sync.build_request, sync.read_state

    def read_older_state(packed):
        (row,) = unpack(packed)
        if len(row) > count:
            raise FrameError(f"a state has {len(row)} fields, not {count}")
        if len(row) < OLDEST_COUNT:
            return DaemonState(*row, release=form.release)
        return read_state(packed)

    async def exchange_states(name, connection):
        await client.request_state(name, connection, form)

    sync.build_request = lambda receiver, _: build_request(receiver, form)
    sync.read_state = read_older_state
    client.exchange_states = exchange_states
    client.stated_release = node.peer_server.stated_release = 0
    if count < FIRST_COUNT_WITH_LINKS:
        node.members.own = OlderMember(*node.members.own)._replace(carrier="")
