"""The daemon's program: the command line of ``tanagertraild``."""

__all__ = ["main"]

import argparse
import asyncio
import sys

import logbook

from tanagertrail.daemon import run_daemon
from tanagertrail.embedded import run_embedded
from tanagertrail.errors import PlatformError, SettingsError
from tanagertrail.settings.daemon import DaemonSettings
from tanagertrail.settings.ini_file import read_settings

EXIT_INVALID_SETTINGS = 2
EXIT_START_FAILED = 3
THREAD_SWITCH_SECONDS = 0.0005


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parse the daemon's command line."""
    parser = argparse.ArgumentParser("tanagertraild", description=__doc__)
    source = parser.add_mutually_exclusive_group(required=True)
    source.add_argument("--settings", metavar="FILE", help="run with the settings in FILE")
    source.add_argument("--embedded", action="store_true", help="run the embedded demonstration")
    parser.add_argument("--stay", action="store_true", help="keep serving after --embedded")
    return parser.parse_args(arguments)


def main() -> None:
    """Run the daemon from the command line."""
    arguments = parse_arguments()
    if arguments.embedded:
        sys.exit(asyncio.run(run_embedded(arguments.stay)))
    try:
        settings = read_settings(arguments.settings, DaemonSettings)
    except SettingsError as error:
        for violation in error.violations:
            print(violation, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    sys.setswitchinterval(THREAD_SWITCH_SECONDS)
    level = logbook.lookup_level(settings.log.level.upper())
    logbook.StreamHandler(sys.stderr, level=level).push_application()
    try:
        asyncio.run(run_daemon(settings))
    except (OSError, PlatformError) as error:
        print(f"cannot start: {error}", file=sys.stderr)
        sys.exit(EXIT_START_FAILED)


if __name__ == "__main__":
    main()
