"""What operators are shown of a gateway's beliefs."""

import asyncio

from tanagertrail.daemons.releases import RELEASE
from tanagertrail.gateway.node import GatewayNode
from tanagertrail.operators.beliefs import format_report, parse_metrics, read_report
from tanagertrail.operators.client import OperatorError
from tanagertrail.settings.gateway import GatewayTuning, MetricsSection
from tests.gateway_utils import HOST, build_settings, find_port, open_world, run_in_real_time
from tests.utils import raises

PAGE = """# HELP tanagertrail_state State of the daemon by name
# TYPE tanagertrail_state gauge
tanagertrail_state{name="config_version"} 7.0
tanagertrail_state{name="config_age_s"} 0.25
tanagertrail_state{name="ready"} 1.0
tanagertrail_state{name="in_flight"} 3.0
tanagertrail_state{name="members_alive"} 8.0
tanagertrail_state{name="fencing",otel_scope_name="tanagertrail.gateway",service="",upstream=""} 2.0
tanagertrail_state{failure_domain="north",name="domain_out"} 1.0
tanagertrail_state{name="requests_suspected"} 4.0
tanagertrail_state{name="requests_quarantined"} 1.0
tanagertrail_state{name="upstream_in_flight",service="desk",upstream="up-a"} 1.0
tanagertrail_state{name="upstream_running",service="desk",upstream="up-a"} 5.0
tanagertrail_state{name="upstream_faults",service="desk",upstream="up-a"} 0.5
tanagertrail_state{name="upstream_sent",service="desk",upstream="up-a"} 90.0
tanagertrail_state{name="upstream_leaving",service="desk",upstream="up-a"} 1.0
tanagertrail_state{name="upstream_wait_s",service="desk",upstream="up-a"} 1.5
tanagertrail_state{name="upstream_limit",service="desk",upstream="up-a"} 1.6
tanagertrail_state{name="upstream_limit_own",service="desk",upstream="up-a"} 0.304
tanagertrail_requests_total{outcome="answered",route="r"} 9.0
"""


def test_states_are_parsed_and_shown():
    report = parse_metrics(PAGE)
    assert report.values["config_version"] == 7
    assert report.domains_out == ("north",)
    lines = list(format_report(report))
    assert "configuration 7, known to be the newest 0.25 s ago" in lines
    assert "holds the duties with number 2" in lines
    assert "upstream up-a has stated that it leaves" in lines
    assert "upstream up-a wants no request from here for 1.50 s" in lines
    assert "failure domains that get no work: north" in lines
    assert "4 requests suspected to end upstreams, 1 quarantined" in lines
    assert "upstream up-a of desk: 1 here, 5 in all, 50% failed, 90 sent from here" in lines
    shown = "upstream up-a accepts 1.6 requests a second from all daemons, 0.304 of them from here"
    assert shown in lines


def test_releases_that_run_side_by_side_are_shown():
    page = (
        PAGE
        + """tanagertrail_state{name="release"} 6.0
tanagertrail_state{name="members_of_release",member_release="6"} 2.0
tanagertrail_state{name="members_of_release",member_release="3"} 4.0
tanagertrail_state{name="members_of_release",member_release="x"} 4.0
"""
    )
    lines = list(format_report(parse_metrics(page)))
    assert "runs release 6; other live daemons: 4 of release 3, 2 of release 6" in lines
    assert not any("could not be read" in line for line in lines)
    page += """tanagertrail_state{name="peer_frames_refused"} 7.0
tanagertrail_state{name="members_too_old"} 1.0
"""
    lines = list(format_report(parse_metrics(page)))
    (shown,) = [line for line in lines if "could not be read" in line]
    assert shown.startswith("7 messages of other daemons")
    assert shown.endswith("1 daemons are of a release that is too old")


def test_failed_tasks_and_refused_objects_are_shown():
    page = (
        PAGE
        + """tanagertrail_state{name="task_failures",task="watch of servers"} 7.0
tanagertrail_state{name="tasks_failing"} 1.0
tanagertrail_state{name="entries_refused"} 2.0
"""
    )
    lines = list(format_report(parse_metrics(page)))
    assert "tasks that failed since the start: watch of servers (7)" in lines
    assert "1 tasks keep failing" in lines
    assert "2 stored objects could not be read and were passed over" in lines


def test_page_of_another_kind_is_refused():
    with raises(OperatorError):
        parse_metrics("process_cpu_seconds_total 4.0\n")


def test_address_without_a_gateway_is_an_error():
    with raises(OperatorError):
        read_report(f"{HOST}:{find_port()}")


@run_in_real_time
async def test_beliefs_of_a_running_gateway_are_read():
    async with open_world() as world:
        ports = world.ports | {
            key: find_port() for key in ("front", "ready", "directory", "internal")
        }
        metrics = find_port()
        tuning = GatewayTuning(metrics=MetricsSection(port=metrics))
        node = GatewayNode(build_settings(ports, "entry-2"), tuning)
        await node.start()
        try:
            await world.wait_until(lambda: node.ready)
            await world.wait_until(lambda: node.members.list_alive(node.loop.time()))
            report = await asyncio.to_thread(read_report, f"{HOST}:{metrics}")
            assert report.values["config_version"] == 1
            assert {row.upstream for row in report.upstreams} == {"up-a", "up-b"}
            assert (report.values["release"], report.releases) == (RELEASE, ((RELEASE, 1),))
        finally:
            node.close()


def test_odd_value_ends_the_reading_of_a_page():
    lines = [
        'tanagertrail_state{name="ready"} yes',
        'tanagertrail_state{name="fencing"} NaN',
        'tanagertrail_state{name="in_flight"} +Inf',
        'tanagertrail_state{name="config_version"} 3',
    ]
    assert parse_metrics("\n".join(lines)).values == {"config_version": 3.0}
