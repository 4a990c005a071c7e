"""The check of a configuration file before it is stored."""

__all__ = ["ConfigReport", "check_configuration_file", "check_documents"]

from pathlib import Path
from typing import Any, NamedTuple

from tanagertrail.decoding import find_violation, load_json
from tanagertrail.errors import DecodeError, InvalidInputError, Violation
from tanagertrail.operators.config_checks import CHECKS
from tanagertrail.operators.config_differences import COMPARISONS
from tanagertrail.operators.findings import Finding, Severity
from tanagertrail.platform.records import ConfigurationDocument, parse_configuration
from tanagertrail.platform.store import MAX_RESPONSE_BYTES

WHOLE = "configuration"  # path of a finding on the whole document


class ConfigReport(NamedTuple):
    """What a check found in a configuration, most serious first.

    :ivar against: file of the configuration in force, None if it was not compared
    """

    file: str
    against: str | None
    findings: list[Finding]

    def count(self, severity: Severity) -> int:
        """Return the number of findings of a severity."""
        return sum(finding.severity is severity for finding in self.findings)

    @property
    def worst(self) -> Severity:
        """The severity of the most serious finding, that of a note if there is none."""
        return self.findings[0].severity if self.findings else Severity.INFO


def read_content(path: str) -> Any:
    """Read a configuration, either bare or as a stored object with ``spec``.

    :raises InvalidInputError: if daemons could not read such an object from the store
    """
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_RESPONSE_BYTES + 1)
    except (OSError, ValueError) as error:
        raise InvalidInputError([Violation(WHOLE, "must be readable", str(error))]) from error
    if len(data) > MAX_RESPONSE_BYTES:
        rule = f"must have at most {MAX_RESPONSE_BYTES} bytes"
        raise InvalidInputError([Violation(WHOLE, rule, f"more in {path}")])
    try:
        content = load_json(data)
    except DecodeError as error:
        raise InvalidInputError([Violation(WHOLE, "must be JSON", str(error))]) from error
    if isinstance(content, dict) and "spec" in content and "routes" not in content:
        content = content["spec"]
    if violation := find_violation(content):
        raise InvalidInputError(
            [Violation(WHOLE, "must be within the bounds of stored objects", violation)]
        )
    return content


def read_document(path: str, code: str, findings: list[Finding]) -> ConfigurationDocument | None:
    """Read a configuration; if it is refused, add findings with a code and return None."""
    try:
        return parse_configuration(read_content(path))
    except InvalidInputError as error:
        for field, rule, value in error.violations:
            sentence = f"{rule} (seen: {value}, file {path!r})"
            findings.append(Finding(Severity.ERROR, code, field or WHOLE, sentence))
        return None


def check_documents(
    proposed: ConfigurationDocument, in_force: ConfigurationDocument | None = None
) -> list[Finding]:
    """Return the findings on a configuration, and its differences from the one in force."""
    findings = CHECKS.apply(proposed)
    if in_force is not None:
        findings += COMPARISONS.apply(proposed, in_force)
    return findings


def check_configuration_file(path: str, against: str | None = None) -> ConfigReport:
    """Check a configuration file, and compare it with that of the version in force if named."""
    findings: list[Finding] = []
    proposed = read_document(path, "unreadable", findings)
    in_force = None
    if against is not None:
        in_force = read_document(against, "unreadable_in_force", findings)
    if proposed is not None:
        findings += check_documents(proposed, in_force)
    order = list(Severity)
    findings.sort(key=lambda finding: order.index(finding.severity))
    return ConfigReport(path, against, findings)
