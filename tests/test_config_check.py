"""Checks of a configuration before it is stored, and their command line."""

import contextlib
import io
import json
import sys
import tempfile
from pathlib import Path
from unittest import mock

from nose2.tools import params

from tanagertrail.operators import cli
from tanagertrail.operators.config_checks import CHECKS
from tanagertrail.operators.config_differences import COMPARISONS
from tanagertrail.operators.config_report import check_documents
from tanagertrail.platform.records import parse_configuration
from tanagertrail.standins.documents import CUSTOMERS, build_document, build_route

ALL_KEYS = {item.key for item in CUSTOMERS}
SECRET = "key-of-nobody-else"


def build_clean(version=1, **changes):
    """Return a configuration without findings, changed at the top level."""
    return build_document(version, [], ALL_KEYS) | changes


def with_routes(*routes):
    return {"routes": [*build_clean()["routes"], *routes]}


def with_tenants(*tenants):
    return {"tenants": [*build_clean()["tenants"], *tenants]}


def build_tenant(**changes):
    return {"name": "new", "api_keys": [SECRET]} | changes


def build_targets(*weights):
    targets = [{"service": "desk", "weight": weight} for weight in weights]
    return build_route("new", "safe", backends=targets)


def find(proposed, in_force=None):
    """Return the findings as pairs of code and path, and their sentences."""
    documents = [parse_configuration(item) for item in (proposed, in_force) if item is not None]
    findings = check_documents(*documents)
    return [(item.code, item.path) for item in findings], [item.sentence for item in findings]


CHECK_CASES = (
    ("duplicate_name", "routes.8.name", with_routes(build_route("book", "safe", prefix="/new/"))),
    ("duplicate_name", "services.1.name", {"services": [{"name": "desk"}, {"name": "desk"}]}),
    ("duplicate_name", "tenants.3.name", with_tenants(build_tenant(name="guild"))),
    ("shared_key", "tenants.3.api_keys.0", with_tenants(build_tenant(api_keys=["key-guild"]))),
    ("empty_key", "tenants.3.api_keys.1", with_tenants(build_tenant(api_keys=[SECRET, ""]))),
    ("shadowed_route", "routes.8", with_routes(build_route("new", "safe", prefix="/book/"))),
    (
        "shadowed_route",
        "routes.8",
        with_routes(build_route("new", "safe", prefix="/book/", host="DESK.example")),
    ),
    ("prefix_slashes", "routes.8.prefix", with_routes(build_route("new", "safe", prefix="/new"))),
    ("prefix_slashes", "routes.8.prefix", with_routes(build_route("new", "safe", prefix="new/"))),
    ("attempts_below_one", "routes.8.attempts", with_routes(build_route("n", "safe", attempts=0))),
    ("unknown_service", "routes.8.service", with_routes(build_route("n", "safe", service="gone"))),
    (
        "unknown_service",
        "routes.8.backends.0.service",
        with_routes(build_route("n", "safe", backends=[{"service": "gone"}])),
    ),
    ("weights_sum", "routes.8.backends", with_routes(build_targets(0, 0))),
    ("weights_sum", "routes.8.backends", with_routes(build_targets(1e308, 1e308))),
    ("unused_target", "routes.8.backends.1.weight", with_routes(build_targets(1, 0))),
    ("unused_service", "services.1", {"services": [{"name": "desk"}, {"name": "idle"}]}),
    ("tenant_without_keys", "tenants.3.api_keys", with_tenants(build_tenant(api_keys=[]))),
    (
        "objective_above_timeout",
        "routes.8.slo_ms",
        with_routes(build_route("n", "safe", slo_ms=2001)),
    ),
    (
        "objective_above_timeout",
        "routes.8.gap_aim_ms",
        with_routes(build_route("n", "stream", gap_aim_ms=2001)),
    ),
    (
        "burst_below_request",
        "tenants.3.burst",
        with_tenants(build_tenant(unit="tokens", rate_per_s=9, burst=7, plain_tokens=8)),
    ),
    ("burst_without_rate", "tenants.3.burst", with_tenants(build_tenant(burst=5))),
    (
        "limits_out_of_order",
        "limits.header_timeout_ms",
        {"limits": {"header_timeout_ms": 2000, "idle_timeout_ms": 1999}},
    ),
    (
        "limits_out_of_order",
        "limits.max_header_bytes",
        {"limits": {"max_header_bytes": 1001, "max_body_bytes": 1000}},
    ),
)
LARGER = build_clean(2, **with_routes(build_route("new", "safe")))
MORE_KEYS = build_clean(2, **with_tenants(build_tenant(api_keys=[SECRET, f"{SECRET}-2"])))
FEWER_KEYS = build_clean(2, **with_tenants(build_tenant()))
COMPARISON_CASES = (
    ("version_not_increased", "version", build_clean(4), build_clean(4)),
    ("version_not_increased", "version", build_clean(3), build_clean(4)),
    ("entry_added", "routes.8", LARGER, build_clean()),
    ("entry_removed", "routes.8", build_clean(3), LARGER),
    ("field_changed", "limits.max_body_bytes", build_clean(2, limits={"max_body_bytes": 10**6})),
    ("field_changed", "services.0.max_conns", build_clean(2, services=[{"name": "desk"}])),
    ("keys_added", "tenants.3.api_keys", MORE_KEYS | {"version": 3}, FEWER_KEYS),
    ("keys_removed", "tenants.3.api_keys", FEWER_KEYS | {"version": 3}, MORE_KEYS),
    ("keys_removed", "tenants.3.api_keys", build_clean(3), MORE_KEYS),
)


def test_a_clean_configuration_has_no_finding():
    # A rule that objects to what daemons serve well would make operators ignore the check.
    assert find(build_clean())[0] == []
    assert find(build_clean(2), build_clean(1))[0] == []


@params(*CHECK_CASES)
def test_fault_is_found_at_its_place_and_no_other_is(code, path, changes):
    # Guards against a rule that misses its fault, or that objects to the entries beside it.
    assert find(build_clean(**changes))[0] == [(code, path)]


@params(*COMPARISON_CASES)
def test_difference_is_found_at_its_place(code, path, proposed, in_force=None):
    assert (code, path) in find(proposed, in_force or build_clean())[0]


def test_every_rule_has_a_case():
    # A rule that is registered without a case would be untested.
    assert {case[0] for case in CHECK_CASES} == set(CHECKS)
    assert {case[0] for case in COMPARISON_CASES} == set(COMPARISONS)


def test_limits_that_agree_are_not_reported():
    # Equal limits do not contradict each other, and a quota in requests charges no tokens.
    changes = with_routes(build_route("new", "safe", slo_ms=2000, gap_aim_ms=2000))
    changes |= with_tenants(build_tenant(rate_per_s=9, burst=1, plain_tokens=8))
    changes["limits"] = {"header_timeout_ms": 9, "idle_timeout_ms": 9}
    assert find(build_clean(**changes))[0] == []


def test_keys_are_counted_and_never_shown():
    # API keys are secrets; a report may end in a ticket or a log.
    empty = build_clean(3, **with_tenants(build_tenant(api_keys=[])))
    _, sentences = find(empty, MORE_KEYS)
    assert "tenant 'new' loses API keys: 2" in sentences
    shared = build_clean(4, **with_tenants(build_tenant(), build_tenant(name="other")))
    for proposed, in_force in ((empty, MORE_KEYS), (MORE_KEYS, empty), (shared, empty)):
        assert SECRET not in str(find(proposed, in_force))
    for keys in ({SECRET: 1}, [{SECRET: 1}], SECRET):
        with write_files(build_clean(**with_tenants(build_tenant(api_keys=keys)))) as (path,):
            status, printed = run_check(path)
        assert status == 2
        assert "tenants.3.api_keys" in printed and SECRET not in printed


def run_check(*arguments):
    """Run the command and return its exit status and what it printed."""
    printed = io.StringIO()
    with (
        mock.patch.object(sys, "argv", ["tanagertrail", "check-config", *arguments]),
        contextlib.redirect_stdout(printed),
    ):
        try:
            cli.main()
        except SystemExit as end:
            return end.code, printed.getvalue()
    raise AssertionError("the command ended without a status")


@contextlib.contextmanager
def write_files(*contents):
    """Yield paths of files; contents that are not bytes are written as JSON."""
    with tempfile.TemporaryDirectory() as folder:
        paths = [Path(folder) / f"{number}.json" for number in range(len(contents))]
        for path, content in zip(paths, contents, strict=True):
            path.write_bytes(
                content if isinstance(content, bytes) else json.dumps(content).encode()
            )
        yield [str(path) for path in paths]


@params(
    (0, build_clean()),
    (0, {"meta": {"name": "main"}, "spec": build_clean()}),
    (0, LARGER, build_clean()),
    (1, build_clean(**with_tenants(build_tenant(api_keys=[])))),
    (1, build_clean(3), LARGER),
    (2, build_clean(**with_routes(build_route("new", "safe", attempts=0)))),
    (2, build_clean(), build_clean()),
)
def test_exit_status_is_that_of_the_worst_finding(status, *contents):
    # A script that stores a configuration decides by the status alone.
    with write_files(*contents) as paths:
        arguments = [paths[0], *(f"--against={path}" for path in paths[1:])]
        assert run_check(*arguments)[0] == status
        found, printed = run_check(*arguments, "--json")
    assert found == status
    report = json.loads(printed)
    assert ["info", "warning", "error"].index(report["worst"]) == status


BAD_FILES = (
    (b"", "must be JSON"),
    (b"{", "must be JSON"),
    (b"\xff\xfe", "must be JSON"),
    (b"[" * 200_000, "nested deeper than 100"),
    (b"[" * 50 + b"]" * 50, "nested deeper than 32"),
    (b'{"version": NaN}', "the number nan"),
    (b'{"version": 1e999}', "the number inf"),
    (b'"\\ud800"', "surrogate"),
    (b"9" * 5000, "must be JSON"),
    (b"null", "valid dictionary"),
    (b"[]", "valid dictionary"),
    (b'{"spec": 7}', "valid dictionary"),
    (b'{"version": "x", "routes": 5, "services": [3]}', "routes: Input should be a valid list"),
    (json.dumps(build_clean(limits={"max_body_bytes": "many"})).encode(), "max_body_bytes"),
)


@params(*BAD_FILES)
def test_bad_file_gives_an_error_and_no_traceback(content, shown):
    # Operators' scripts and people need to know which file is wrong and why.
    with write_files(content, build_clean()) as (bad, good):
        for arguments in ([bad], [good, f"--against={bad}"]):
            status, printed = run_check(*arguments)
            assert status == 2
            assert shown in printed and bad in printed
            status, printed = run_check(*arguments, "--json")
            assert status == 2
            assert json.loads(printed)["findings"][0]["severity"] == "error"


@params("--agianst=FILE", "--against=")
def test_mistyped_comparison_is_an_error(flag):
    # A comparison that is silently left out would let a version pass that daemons do not take.
    with write_files(build_clean()) as (path,), contextlib.redirect_stderr(io.StringIO()):
        assert run_check(path, flag)[0] == 2


def test_missing_file_and_folder_are_errors():
    with tempfile.TemporaryDirectory() as folder:
        for path in (folder, f"{folder}/none.json"):
            status, printed = run_check(path)
            assert status == 2
            assert "must be readable" in printed and path in printed


def test_huge_numbers_and_odd_names_are_shown():
    # The decoder takes a long number from a text, which no float can hold.
    changes = with_routes(build_route("\x1b[2J", "safe", prefix="/n", service="\u202e"))
    changes["limits"] = {"max_header_bytes": "9" * 4000}
    with write_files(build_clean(2, **changes), build_clean()) as (path, in_force):
        status, printed = run_check(path, f"--against={in_force}")
    assert status == 2
    assert "\x1b" not in printed and "\u202e" not in printed
