"""The operators' command line, which only parses and prints."""

__all__ = ["main"]

import json
import os
import sys

import fire

from tanagertrail.errors import InvalidInputError
from tanagertrail.operators import actions
from tanagertrail.operators.beliefs import format_report, read_report
from tanagertrail.operators.client import OperatorError
from tanagertrail.operators.config_report import ConfigReport, check_configuration_file
from tanagertrail.operators.explain import LogLine, explain_request, format_line, merge_logs
from tanagertrail.operators.findings import Severity
from tanagertrail.timeline.merge import format_event

EXIT_REFUSED = 1
EXIT_INVALID = 2
EXIT_UNREACHABLE = 3
EXIT_TAKEN_BACK = 4
EXIT_TIMEOUT = 5
CHECK_STATUSES = {Severity.INFO: 0, Severity.WARNING: 1, Severity.ERROR: EXIT_INVALID}
DEFAULT_ADDRESS = "127.0.0.1:8081"


def build_access(address: str) -> actions.Access:
    """Build the access from options and environment."""
    return actions.Access(
        address or os.environ.get("TANAGERTRAIL_OPERATOR", DEFAULT_ADDRESS),
        os.environ.get("TANAGERTRAIL_TOKEN", ""),
        os.environ.get("TANAGERTRAIL_AUTHORITY", ""),
    )


def print_json(document: object) -> None:
    """Print a document as JSON."""
    print(json.dumps(document, indent=2, sort_keys=True))


def print_progress(progress: actions.TicketProgress) -> None:
    """Print how far a ticket has come, on one line."""
    moves = "; ".join(f"{name}: {move}" for name, move in progress.moves.items())
    waiting = f", waiting for {', '.join(progress.waiting)}" if progress.waiting else ""
    total = len(progress.in_force) + len(progress.waiting)
    line = f"ticket {progress.number}: in force on {len(progress.in_force)}/{total}{waiting}"
    print(f"{line}; {moves}" if moves else line)


class TicketCommands:
    """Apply and follow change tickets."""

    def apply(
        self,
        file: str,
        address: str = "",
        wait: bool = False,
        timeout: float = 600.0,
        json: bool = False,
    ) -> None:
        """Apply the ticket in FILE; with --wait, follow it until it is done or taken back."""
        access = build_access(address)
        number = actions.apply_ticket_file(access, str(file))
        if not wait:
            print_json({"number": number}) if json else print(f"ticket {number} committed")
            return
        last = None
        for last in actions.wait_ticket(access, number, timeout):
            if not json:
                print_progress(last)
        if json and last is not None:
            print_json(last._asdict())
        if last is None or not last.finished:
            sys.exit(EXIT_TIMEOUT)
        if last.taken_back:
            sys.exit(EXIT_TAKEN_BACK)

    def show(self, number: int, address: str = "", json: bool = False) -> None:
        """Show how far ticket NUMBER has come on every daemon."""
        progress = actions.show_ticket(build_access(address), number)
        print_json(progress._asdict()) if json else print_progress(progress)

    def list(self, address: str = "", json: bool = False) -> None:
        """List the tickets known."""
        tickets = actions.list_tickets(build_access(address))
        if json:
            print_json(tickets)
            return
        for view in tickets:
            moves = "; ".join(f"{name}: {move}" for name, move in view["moves"].items())
            print(
                f"{view['number']:>6} {view['operator']:<12} {', '.join(view['touches'])} {moves}"
            )


class SettingsCommands:
    """Check settings."""

    def check(self, file: str) -> None:
        """Check the settings in FILE."""
        actions.check_settings_file(str(file))
        print(f"{file}: good")


class Commands:
    """Operate tanagertrail."""

    def __init__(self) -> None:
        self.ticket = TicketCommands()
        self.settings = SettingsCommands()

    def status(self, address: str = "", json: bool = False) -> None:
        """Show services, versions, upstreams, failure domains and daemons."""
        status = actions.read_status(build_access(address))
        if json:
            print_json(status)
            return
        print(f"daemon {status['daemon']} ready={status['ready']} ticket={status['ticket']}")
        for name, service in status["services"].items():
            print_service(name, service)
        for name, state in status["failure_domains"].items():
            print(f"failure domain {name}: {state}")
        for name, view in status["daemons"].items():
            print(f"daemon {name}: {view['state']} in {view['failure_domain']}")

    def check_config(
        self, file: str, against: str | None = None, json: bool = False, **unknown: object
    ) -> None:
        """Check the configuration in FILE; with --against, compare it with the one in force."""
        if unknown:  # fire would report it only after this command, which has exited by then
            print(f"check-config: unknown flags {', '.join(unknown)}", file=sys.stderr)
            sys.exit(EXIT_INVALID)
        report = check_configuration_file(str(file), None if against is None else str(against))
        if json:
            findings = [finding._asdict() for finding in report.findings]
            print_json({**report._asdict(), "findings": findings, "worst": report.worst})
        else:
            print_check(report)
        sys.exit(CHECK_STATUSES[report.worst])

    def explain(self, request: str, *files: str) -> None:
        """Show what decided the outcome of REQUEST, by the gateways' logs in FILES."""
        found = explain_request(str(request), merge_logs(str(file) for file in files))
        if not found.own:
            print(f"no line names request {request}", file=sys.stderr)
            sys.exit(EXIT_REFUSED)
        print_lines("the request", found.own)
        print_lines("its upstreams", found.upstreams)
        print_lines("what its daemon relied on", found.dependencies)

    def beliefs(self, address: str, json: bool = False) -> None:
        """Show what the gateway with the metrics ADDRESS (host:port) believes."""
        report = read_report(str(address))
        if json:
            upstreams = [row._asdict() for row in report.upstreams]
            print_json({**report._asdict(), "upstreams": upstreams})
            return
        for line in format_report(report):
            print(line)

    def merge(self, *files: str, event: str = "") -> None:
        """Show the gateways' logs in FILES in one time line, or only lines of one EVENT."""
        for line in merge_logs(str(file) for file in files):
            if not event or line.event == event:
                print(format_line(line))

    def timeline(
        self,
        ticket: int = 0,
        request: str = "",
        upstream: str = "",
        daemon: str = "",
        limit: int = 1000,
        address: str = "",
        json: bool = False,
    ) -> None:
        """Show the events of all daemons in causal order."""
        access = build_access(address)
        events = actions.read_timeline(
            access, ticket, str(request), str(upstream), str(daemon), limit
        )
        if json:
            print_json([event._asdict() for event in events])
            return
        for event in events:
            print(format_event(event))


def print_check(report: ConfigReport) -> None:
    """Print the findings on a configuration and their numbers."""
    for finding in report.findings:
        print(finding)
    counts = ", ".join(f"{severity}: {report.count(severity)}" for severity in Severity)
    print(f"{report.file!r}, findings by severity: {counts}")


def print_lines(title: str, lines: list[LogLine]) -> None:
    """Print lines of a log under a title."""
    print(f"{title}:")
    for line in lines:
        print(f"  {format_line(line)}")


def print_service(name: str, service: dict) -> None:
    """Print one service of a status."""
    shares = ", ".join(f"{version} {share:.0%}" for version, share in service["shares"].items())
    move = f" moving to {service['move']} {service['move_reason']}" if service["move"] else ""
    print(f"service {name} ({service['kind']}): {shares}{move}")
    for upstream, view in service["upstreams"].items():
        mark = " excluded" if view["excluded"] else ""
        load = f"{view['in_flight']}/{view['block']} here, bound {view['bound']}/{view['slots']}"
        print(f"  {upstream} {view['version']} {view['failure_domain']} {load}{mark}")


def main() -> None:
    """Run the command line."""
    try:
        fire.Fire(Commands, name="tanagertrail")
    except InvalidInputError as error:
        for violation in error.violations:
            print(violation, file=sys.stderr)
        sys.exit(EXIT_INVALID)
    except OSError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID)
    except OperatorError as error:
        for line in error.errors:
            print(line, file=sys.stderr)
        sys.exit(EXIT_REFUSED if error.status else EXIT_UNREACHABLE)


if __name__ == "__main__":
    main()
