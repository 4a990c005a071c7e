"""Tests of tickets under race, loss and pause, over several daemons."""

import asyncio

from tanagertrail.bench.scale import run_spread
from tanagertrail.core.compaction import COMPACTION_THRESHOLD, RETAINED_TICKETS
from tanagertrail.core.configuration import Committed
from tanagertrail.model import FailureDomain
from tanagertrail.outcomes import NotRun
from tanagertrail.policy.tickets import Ticket, TicketRefusal
from tests.utils import virtual, with_cluster


def turn(domain, state, **fields):
    return Ticket(failure_domains={domain: FailureDomain(state=state)}, **fields)


@with_cluster(daemons=3)
async def test_race_has_one_winner_and_the_other_is_told(cluster):
    nodes = list(cluster.nodes.values())
    based = nodes[0].configuration.current.number
    outcomes = await asyncio.gather(
        *(node.commit_ticket(turn("otaru", "out", based_on=based)) for node in nodes)
    )
    won = [outcome for outcome in outcomes if isinstance(outcome, Committed)]
    lost = [outcome for outcome in outcomes if isinstance(outcome, TicketRefusal)]
    assert len(won) == 1
    assert len(lost) == 2
    assert f"ticket {won[0].number}, which came first" in str(lost[0])


@with_cluster(daemons=2)
async def test_lost_answer_commits_once(cluster):
    cluster.store.faults.lose_answers = 1
    outcome = await cluster.first.commit_ticket(turn("otaru", "out", nonce="n"))
    again = await list(cluster.nodes.values())[1].commit_ticket(turn("otaru", "out", nonce="n"))
    assert isinstance(outcome, Committed)
    assert again == outcome


@with_cluster(daemons=2)
async def test_outage_refuses_the_ticket_truthfully(cluster):
    cluster.store.faults.outage = True
    outcome = await cluster.first.commit_ticket(turn("otaru", "out"))
    assert isinstance(outcome, NotRun)
    cluster.store.faults.outage = False
    await asyncio.sleep(5)
    assert all(n.configuration.current.number == 1 for n in cluster.nodes.values())


@with_cluster(daemons=3)
async def test_daemon_cut_from_the_store_learns_from_its_peers(cluster):
    cluster.store.faults.cut_clients.add("entry-2")
    await asyncio.sleep(1)
    await cluster.first.commit_ticket(turn("otaru", "out"))
    await asyncio.sleep(0.5)
    assert cluster.nodes["entry-2"].configuration.current.number == 2


@with_cluster(daemons=3)
async def test_paused_daemon_learns_before_it_takes_new_work(cluster):
    paused = cluster.nodes["entry-2"]
    cluster.network.pause("entry-2")
    cluster.store.faults.cut_clients.add("entry-2")
    await cluster.nodes["entry-1"].commit_ticket(turn("sapporo", "out"))
    await asyncio.sleep(3)
    paused.freshness.stale = True
    cluster.network.resume("entry-2")
    outcome, _ = await cluster.ask(cluster.build_request(), paused)
    assert paused.configuration.current.number == 2
    used = cluster.engines[outcome.peer].upstream.failure_domain
    assert used != "sapporo"


@with_cluster(daemons=3)
async def test_daemon_cut_from_all_takes_no_new_work(cluster):
    cluster.store.faults.cut_clients.add("entry-2")
    cluster.network.isolated.add("entry-2")
    await asyncio.sleep(5)
    outcome, _ = await cluster.ask(cluster.build_request(), cluster.nodes["entry-2"])
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
async def test_numbers_never_fall_and_old_tickets_are_folded(cluster):
    seen = dict.fromkeys(cluster.nodes, 0)
    for index in range(COMPACTION_THRESHOLD + 50):
        await cluster.first.commit_ticket(turn("otaru", "out" if index % 2 else "in"))
        for name, node in cluster.nodes.items():
            number = node.configuration.current.number
            assert number >= seen[name]
            seen[name] = number
    await asyncio.sleep(90)
    stored = [key for key in cluster.store.objects if key.startswith("shared/tickets/")]
    assert len(stored) <= RETAINED_TICKETS + 1
    fresh = await cluster.start_node("entry-9")
    assert fresh.configuration.current == cluster.first.configuration.current


@virtual
async def test_burst_is_in_force_in_time_at_forty_daemons():
    result = await run_spread(40, 8)
    assert result.ticket_worst <= 19.0
    assert result.store_peak <= 2000
    assert result.death_seen <= 3.0
