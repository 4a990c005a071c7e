"""Runs of the scripted scenarios."""

from pathlib import Path

from nose2.tools import params

from tanagertrail.scenarios import ScenarioError, parse_scenario, run_scenario
from tanagertrail.testing import run_in_virtual_time
from tests.utils import raises

SCENARIOS = sorted(Path(__file__).with_name("scenarios").glob("*.txt"))


@params(*(path.stem for path in SCENARIOS))
def test_scenario(name):
    path = Path(__file__).with_name("scenarios") / f"{name}.txt"
    result = run_in_virtual_time(run_scenario(parse_scenario(path.read_text())))
    assert not result.failures, "; ".join(result.failures)


def test_bad_line_is_named():
    with raises(ScenarioError) as caught:
        parse_scenario("cluster daemons=3\nat 5 explode dial-1\n")
    assert caught[0].violations[0].field == "line 2"
