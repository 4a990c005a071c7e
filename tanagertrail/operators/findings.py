"""Findings on a configuration, and registries of the rules that make them."""

__all__ = ["ENTRY_KINDS", "Finding", "Place", "RuleSet", "Severity", "show_number"]

import enum
from collections.abc import Callable, Iterator
from typing import NamedTuple

from tanagertrail.platform.records import ConfigurationDocument
from tanagertrail.registry import Registry

ENTRY_KINDS = {"routes": "route", "services": "service", "tenants": "tenant"}


class Severity(enum.StrEnum):
    """How serious a finding is, most serious first."""

    ERROR = "error"
    WARNING = "warning"
    INFO = "info"


class Finding(NamedTuple):
    """One finding on a configuration.

    :ivar code: name of the rule that made it
    :ivar path: path of the field in the configuration
    """

    severity: Severity
    code: str
    path: str
    sentence: str

    def __str__(self) -> str:
        return f"{self.severity} {self.code} {self.path}: {self.sentence}"


class Place(NamedTuple):
    """A field that a rule objects to, and why."""

    path: str
    sentence: str


RuleFunction = Callable[..., Iterator[Place]]


class Rule(NamedTuple):
    """A rule on one configuration, or on a proposed one and the one in force."""

    severity: Severity
    find: RuleFunction


class RuleSet(Registry[Rule]):
    """Rules by the code of their findings."""

    def rule(self, code: str, severity: Severity) -> Callable[[RuleFunction], RuleFunction]:
        """Return a decorator that registers a function as a rule."""

        def add(function: RuleFunction) -> RuleFunction:
            self.register(code)(Rule(severity, function))
            return function

        return add

    def apply(self, *documents: ConfigurationDocument) -> list[Finding]:
        """Return what all rules find."""
        findings = []
        for code in self:
            severity, find = self.get(code)
            findings += [Finding(severity, code, *place) for place in find(*documents)]
        return findings


def show_number(value: float) -> str:
    """Return a number for display, without the decimals of a whole one."""
    return str(value).removesuffix(".0")
