"""Scripted scenarios: a small language, its actions and its measures."""

from tanagertrail.scenarios import measures, verbs
from tanagertrail.scenarios.language import (
    Scenario,
    ScenarioError,
    ScenarioResult,
    parse_scenario,
    run_scenario,
)

__all__ = [
    "Scenario",
    "ScenarioError",
    "ScenarioResult",
    "measures",
    "parse_scenario",
    "run_scenario",
    "verbs",
]
