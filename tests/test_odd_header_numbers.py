"""Header fields whose numbers are too long, or are digits that are no decimal numbers."""

from nose2.tools import params

from tests.answer_utils import MemoryWorld, build_answer
from tests.utils import with_virtual_time

ODD_NUMBERS = ("9" * 5000, "9" * 400, "\xb2", "4\xb2", "", "-1", "1e9", "nan")
CALLER_FIELDS = {
    "tanagertrail-deadline-ms": "{}",
    "tanagertrail-token-count": "{},5",
    "tanagertrail-length-hint": "{}",
    "tanagertrail-prompt-prefix": "aa:{},bb:5",
}
UPSTREAM_FIELDS = {
    "keep-alive": "timeout={}",
    "tanagertrail-cold-ms": "{}",
    "tanagertrail-server-load": "{},{},{}",
    "server-limit": "{}",
}


@params(*CALLER_FIELDS)
@with_virtual_time
async def test_odd_number_of_a_caller_leaves_its_request_unanswered(name):
    for number in ODD_NUMBERS:
        world = MemoryWorld()
        value = CALLER_FIELDS[name].format(number)
        fields = {"tanagertrail_token_count": "3,4", name.replace("-", "_"): value}
        reply = await world.fetch("/look/1", **fields)
        assert (reply.status, reply.whole) == (200, True), (name, number[:10])
        assert not world.defects


@params(*UPSTREAM_FIELDS)
@with_virtual_time
async def test_odd_number_of_an_upstream_leaves_a_request_unanswered(name):
    for number in ODD_NUMBERS:
        world = MemoryWorld()
        field = f"{name}: {UPSTREAM_FIELDS[name]}".replace("{}", number).encode("latin-1")
        world.upstreams["up-a"].add(build_answer(headers=[field]))
        reply = await world.fetch("/look/1")
        assert (reply.status, reply.whole) == (200, True), (name, number[:10])
        assert not world.defects
