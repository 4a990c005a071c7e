"""From a request's id to its cause, by recorded logs."""

import json
import tempfile
from pathlib import Path

from tanagertrail.operators.explain import (
    explain_request,
    format_line,
    merge_logs,
    parse_line,
)


def write_log(folder, name, lines, prefix=""):
    """Write a log file and return its path."""
    path = Path(folder) / name
    path.write_text("".join(f"{prefix}{json.dumps(line)}\n" for line in lines) + "no line\n{x\n")
    return str(path)


def line(at, daemon, event, **fields):
    """Return a line of a log."""
    return {"t": at, "daemon": daemon, "event": event, **fields}


def build_logs(folder):
    """Write the logs of two daemons."""
    tries = [["up-1", "broken", "head", "reset"]]
    first = [
        line(100.0, "d1", "upstream_registered", upstream="up-1"),
        line(101.0, "d1", "store_lost", kind="servers"),
        line(105.0, "d1", "request", request="r1", outcome="broken upstream", tries=tries, ms=20),
        line(105.2, "d1", "upstream_removed", upstream="up-1"),
        line(300.0, "d1", "store_lost", kind="servers"),
    ]
    second = [line(104.0, "d2", "store_lost", kind="servers")]
    return [write_log(folder, "1.log", first), write_log(folder, "2.log", second, "  4.1 d2 ")]


def test_explanation_gathers_request_upstream_and_dependencies():
    with tempfile.TemporaryDirectory() as folder:
        found = explain_request("r1", merge_logs(build_logs(folder)))
    assert [item.event for item in found.own] == ["request"]
    assert [item.event for item in found.upstreams] == ["upstream_registered", "upstream_removed"]
    assert [(item.daemon, item.at) for item in found.dependencies] == [("d1", 101.0)]


def test_request_refused_for_a_named_rate_is_not_explained():
    lines = [
        line(100.0, "d1", "limit_learned", upstream="up-1", rate=1.4, before=None, source="d2"),
        line(103.0, "d1", "refused", request="r7", status=503, limited_upstreams=1),
        line(103.0, "d1", "request", request="r7", outcome="refused", tries=[], ms=0),
    ]
    with tempfile.TemporaryDirectory() as folder:
        found = explain_request("r7", merge_logs([write_log(folder, "1.log", lines)]))
    assert [item.event for item in found.own] == ["refused", "request"]
    assert [item.event for item in found.dependencies] == ["limit_learned"]


def test_unknown_request_has_no_explanation():
    with tempfile.TemporaryDirectory() as folder:
        found = explain_request("r2", merge_logs(build_logs(folder)))
    assert not any(found)


def test_logs_of_all_daemons_are_merged_by_time():
    with tempfile.TemporaryDirectory() as folder:
        lines = merge_logs(build_logs(folder))
    assert [item.at for item in lines] == sorted(item.at for item in lines)
    assert {item.daemon for item in lines} == {"d1", "d2"}
    assert "store_lost" in format_line(lines[1])


def test_odd_log_line_ends_the_explanation_of_a_request():
    texts = [
        '{"t":' + "[" * 100_000,
        '{"t":1e999,"daemon":"a","event":"request","request":"r1"}',
        '{"t":NaN,"daemon":"a","event":"request","request":"r1"}',
        '{"t":%s,"daemon":"a","event":"request"}' % ("9" * 5000),
        '{"t":1,"daemon":["a"],"event":{},"request":"r1","tries":5,"ms":"slow"}',
        '{"t":1,"daemon":"a","event":"request","request":"r1","tries":[5,[],[["u"]]],"ms":1e300}',
        '{"t":2,"daemon":"a","event":"x","upstream":["u"]}',
        '{"t":3,"daemon":"a","event":"request","request":"r1","tries":[["up-a"]],"ms":2000}',
        '{"t":3,"daemon":"a","event":"upstream_removed","upstream":"up-a"}',
    ]
    lines = [line for line in map(parse_line, texts) if line is not None]
    found = explain_request("r1", lines)
    assert [line.at for line in found.own] == [1.0, 1.0, 3.0]
    assert "upstream_removed" in {line.event for line in found.upstreams}
