"""Requests in flight at upstreams, from the reports of other daemons."""

from tanagertrail.gateway.model import Upstream
from tanagertrail.gateway.upstream_table import UpstreamTable


def build_table() -> UpstreamTable:
    """Return a table with two upstreams."""
    table = UpstreamTable()
    for name in ("up-a", "up-b"):
        record = Upstream(name, "desk", "10.0.0.1:80", "north", "v1", 4, False, 0, 0, False, None)
        table.put(record, 0.0)
    return table


def read_running(table: UpstreamTable) -> dict[str, int]:
    """Return the number of requests of all daemons at each upstream."""
    return {name: entry.running for name, entry in table.entries.items()}


def test_sums_of_the_former_hub_are_dropped_by_a_new_hub() -> None:
    """A daemon that became a hub kept counting the last sums of its former hub."""
    table = build_table()
    table.replace_in_flight({"up-a": 9})
    table.record_in_flight("d1", {"up-a": 2})
    assert read_running(table) == {"up-a": 2, "up-b": 0}


def test_sums_replace_reports_when_a_hub_becomes_a_client() -> None:
    table = build_table()
    table.record_in_flight("d1", {"up-a": 2})
    table.record_in_flight("d2", {"up-a": 1, "up-b": 5})
    table.replace_in_flight({"up-b": 4})
    assert read_running(table) == {"up-a": 0, "up-b": 4}


def test_reports_replace_earlier_ones_and_are_dropped_with_their_daemon() -> None:
    table = build_table()
    table.record_in_flight("d1", {"up-a": 2, "unknown": 7})
    table.record_in_flight("d2", {"up-a": 1})
    table.record_in_flight("d1", {"up-b": 3})
    assert read_running(table) == {"up-a": 1, "up-b": 3}
    table.drop_dead_daemons(["d2"])
    assert read_running(table) == {"up-a": 1, "up-b": 0}


def test_restarted_upstream_has_no_requests_from_before() -> None:
    table = build_table()
    table.record_in_flight("d1", {"up-a": 2})
    table.put(table.entries["up-a"].record._replace(born=5), 1.0)
    assert read_running(table)["up-a"] == 0
    table.record_in_flight("d1", {"up-a": 1})
    assert read_running(table)["up-a"] == 1
