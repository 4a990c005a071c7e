"""The gateway's program: settings, signals, start and stop."""

__all__ = ["main"]

import asyncio
import os
import signal
import sys

from tanagertrail.errors import SettingsError
from tanagertrail.gateway.eventlog import LineWriter
from tanagertrail.gateway.node import GatewayNode
from tanagertrail.platform.settings import SETTINGS_VARIABLE, read_settings_file

EXIT_SETTINGS = 2
EXIT_START = 3
SWITCH_SECONDS = 0.0005  # threads that serve pages must not hold up the event loop


async def run(path: str) -> None:
    """Run a daemon until it is told to stop."""
    node = GatewayNode(read_settings_file(path))
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: reload_settings(node, path))
    await node.start()
    await stopping.wait()
    await node.stop()


def reload_settings(node: GatewayNode, path: str) -> None:
    """Read the settings again; wrong ones change nothing."""
    try:
        node.take_settings(read_settings_file(path))
    except SettingsError as error:
        node.log.write("settings_refused", error=str(error)[:500])


def main() -> None:
    """Run the gateway from the settings file that the environment names."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(f"{SETTINGS_VARIABLE}: must name the settings file", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    sys.setswitchinterval(SWITCH_SECONDS)
    writer = LineWriter()
    writer.push_application()
    try:
        asyncio.run(run(path))
    except SettingsError as error:
        for violation in error.violations:
            print(violation, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    except OSError as error:
        print(f"cannot start: {error}", file=sys.stderr)
        sys.exit(EXIT_START)
    finally:
        writer.close()
    os._exit(0)


if __name__ == "__main__":
    main()
