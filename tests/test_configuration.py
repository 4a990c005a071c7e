"""Tests of tickets that race, lose answers or miss daemons, over several daemons."""

import asyncio

from tanagertrail.bench.scale import run_spread
from tanagertrail.core.compaction import COMPACTION_THRESHOLD, RETAINED_TICKETS
from tanagertrail.core.configuration import Committed
from tanagertrail.model import FailureDomain
from tanagertrail.outcomes import NotRun
from tanagertrail.policy.tickets import Ticket, TicketRefusal
from tests.utils import with_cluster, with_virtual_time


def build_domain_ticket(domain, state, **fields):
    return Ticket(failure_domains={domain: FailureDomain(state=state)}, **fields)


@with_cluster(daemons=3)
async def test_concurrent_tickets_commit_one_and_refuse_the_others(cluster):
    nodes = list(cluster.nodes.values())
    base_number = nodes[0].configuration.current.number
    outcomes = await asyncio.gather(
        *(
            node.commit_ticket(build_domain_ticket("otaru", "out", based_on=base_number))
            for node in nodes
        )
    )
    committed = [outcome for outcome in outcomes if isinstance(outcome, Committed)]
    refused = [outcome for outcome in outcomes if isinstance(outcome, TicketRefusal)]
    assert len(committed) == 1
    assert len(refused) == 2
    assert f"ticket {committed[0].number}, which came first" in str(refused[0])


@with_cluster(daemons=2)
async def test_lost_answer_commits_once(cluster):
    # The store takes the ticket, but its answer is lost. The same ticket, sent again to another
    # daemon, must not be committed under a second number.
    cluster.store.faults.lose_answers = 1
    outcome = await cluster.first_node.commit_ticket(build_domain_ticket("otaru", "out", nonce="n"))
    resent = await list(cluster.nodes.values())[1].commit_ticket(
        build_domain_ticket("otaru", "out", nonce="n")
    )
    assert isinstance(outcome, Committed)
    assert resent == outcome


@with_cluster(daemons=2)
async def test_ticket_refused_in_a_store_outage_never_takes_effect(cluster):
    cluster.store.faults.outage = True
    outcome = await cluster.first_node.commit_ticket(build_domain_ticket("otaru", "out"))
    assert isinstance(outcome, NotRun)
    cluster.store.faults.outage = False
    await asyncio.sleep(5)
    assert all(node.configuration.current.number == 1 for node in cluster.nodes.values())


@with_cluster(daemons=3)
async def test_daemon_without_the_store_gets_tickets_from_its_peers(cluster):
    cluster.store.faults.cut_clients.add("entry-2")
    await asyncio.sleep(1)
    await cluster.first_node.commit_ticket(build_domain_ticket("otaru", "out"))
    await asyncio.sleep(0.5)
    assert cluster.nodes["entry-2"].configuration.current.number == 2


@with_cluster(daemons=3)
async def test_resumed_daemon_applies_missed_tickets_before_new_requests(cluster):
    # A daemon that was paused must not serve by the configuration it had before the pause. The
    # network only holds back its messages, so the test sets the flag that a noticed pause sets.
    paused_node = cluster.nodes["entry-2"]
    cluster.network.pause("entry-2")
    cluster.store.faults.cut_clients.add("entry-2")
    await cluster.nodes["entry-1"].commit_ticket(build_domain_ticket("sapporo", "out"))
    await asyncio.sleep(3)
    paused_node.freshness.stale = True
    cluster.network.resume("entry-2")
    outcome, _ = await cluster.send_request(cluster.build_request(), paused_node)
    assert paused_node.configuration.current.number == 2
    used_domain = cluster.engines[outcome.peer].upstream.failure_domain
    assert used_domain != "sapporo"


@with_cluster(daemons=3)
async def test_isolated_daemon_refuses_requests_until_it_is_reconnected(cluster):
    cluster.store.faults.cut_clients.add("entry-2")
    cluster.network.isolated.add("entry-2")
    await asyncio.sleep(5)
    outcome, _ = await cluster.send_request(cluster.build_request(), cluster.nodes["entry-2"])
    assert isinstance(outcome, NotRun)
    assert not cluster.nodes["entry-2"].ready
    cluster.network.heal()
    cluster.store.faults.cut_clients.clear()
    await asyncio.sleep(8)
    assert cluster.nodes["entry-2"].ready
    for node in cluster.nodes.values():
        assert len(node.members.membership.list_live()) == 3
        assert len(node.context.neighbours) == 2


@with_cluster(daemons=2)
async def test_ticket_numbers_never_decrease_and_old_tickets_are_compacted(cluster):
    last_numbers = dict.fromkeys(cluster.nodes, 0)
    for index in range(COMPACTION_THRESHOLD + 50):
        await cluster.first_node.commit_ticket(
            build_domain_ticket("otaru", "out" if index % 2 else "in")
        )
        for name, node in cluster.nodes.items():
            number = node.configuration.current.number
            assert number >= last_numbers[name]
            last_numbers[name] = number
    await asyncio.sleep(90)
    stored_keys = [key for key in cluster.store.objects if key.startswith("shared/tickets/")]
    assert len(stored_keys) <= RETAINED_TICKETS + 1
    new_node = await cluster.start_node("entry-9")
    assert new_node.configuration.current == cluster.first_node.configuration.current


@with_virtual_time
async def test_ticket_burst_reaches_forty_daemons_in_time():
    result = await run_spread(40, 8)
    assert result.ticket_worst <= 19.0
    assert result.store_peak <= 2000
    assert result.death_seen <= 3.0
