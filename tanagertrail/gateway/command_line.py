"""Run a gateway daemon with settings from files, until SIGTERM or SIGINT."""

__all__ = ["run_command_line"]

import argparse
import asyncio
import os
import signal
import sys

from tanagertrail.errors import SettingsError
from tanagertrail.gateway.eventlog import LineWriter
from tanagertrail.gateway.node import GatewayNode
from tanagertrail.platform.settings import SETTINGS_VARIABLE, read_settings_file
from tanagertrail.settings.gateway import GatewayTuning
from tanagertrail.settings.ini_file import read_settings

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
EXIT_INVALID_SETTINGS = 2
EXIT_START_FAILED = 3
SETTINGS_CHECK_SECONDS = 1.0
THREAD_SWITCH_SECONDS = 0.0005  # threads that render pages must not delay the event loop


async def run_node(path: str, tuning: GatewayTuning) -> None:
    """Run a daemon until SIGTERM or SIGINT."""
    signature = read_file_signature(path)
    node = GatewayNode(read_settings_file(path), tuning)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: reload_settings(node, path, "signal"))
    loop.set_exception_handler(node.supervisor.handle_loop_error)
    await node.start()
    settings_watcher = node.supervisor.start(
        "settings", lambda: watch_settings(node, path, signature)
    )
    await stopping.wait()
    settings_watcher.cancel()
    await node.stop()


async def run_last_node(path: str, tuning: GatewayTuning) -> None:
    """Run a daemon after which the process ends, and let no later signal end it sooner.

    Their default actions would lose the end of the log, and the exit status.
    """
    await run_node(path, tuning)
    loop = asyncio.get_running_loop()
    for signal_number in (*STOP_SIGNALS, signal.SIGHUP):
        loop.remove_signal_handler(signal_number)
        signal.signal(signal_number, signal.SIG_IGN)


async def watch_settings(
    node: GatewayNode, path: str, known_signature: tuple[int, int] | None
) -> None:
    """Reload the settings when the file changes without a signal.

    :param known_signature: signature of the file before its settings were read
    """
    while True:
        await asyncio.sleep(SETTINGS_CHECK_SECONDS)
        signature = read_file_signature(path)
        if signature != known_signature:
            known_signature = signature
            reload_settings(node, path, "changed file")


def read_file_signature(path: str) -> tuple[int, int] | None:
    """Return the modification time and the size of a file, or None if it cannot be read."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


def reload_settings(node: GatewayNode, path: str, cause: str) -> None:
    """Reload the settings; invalid ones are logged and change nothing."""
    try:
        node.apply_settings(read_settings_file(path), cause)
    except SettingsError as error:
        node.log.write("settings_refused", cause=cause, error=str(error)[:500])


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser("tanagertrail-gateway", description=__doc__)
    parser.add_argument("--settings", metavar="INI", help="settings of the gateway's own")
    parser.add_argument(
        "--node-file",
        metavar="TOML",
        default=os.environ.get(SETTINGS_VARIABLE, ""),
        help=f"settings that the platform wrote (default: ${SETTINGS_VARIABLE})",
    )
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    return parser.parse_args(arguments)


def run_command_line() -> None:
    """Run the gateway, or check its settings."""
    arguments = parse_arguments()
    try:
        tuning = GatewayTuning()
        if arguments.settings:
            tuning = read_settings(arguments.settings, GatewayTuning)
        read_settings_file(arguments.node_file)
    except SettingsError as error:
        for violation in error.violations:
            print(violation, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    if arguments.check:
        print("the settings are valid")
        return
    run_process(arguments.node_file, tuning)


def run_process(path: str, tuning: GatewayTuning) -> None:
    """Run a daemon with validated settings, then exit the process."""
    sys.setswitchinterval(THREAD_SWITCH_SECONDS)
    writer = LineWriter()
    writer.push_application()
    status = 0
    try:
        asyncio.run(run_last_node(path, tuning))
    except OSError as error:
        print(f"cannot start: {error}", file=sys.stderr)
        status = EXIT_START_FAILED
    writer.close()
    os._exit(status)  # threads waiting for the store must not delay the exit
