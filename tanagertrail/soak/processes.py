"""Daemons as processes of their own, ended and restarted by signals."""

__all__ = ["DaemonProcess"]

import asyncio
import os
import signal
import sys
from pathlib import Path

from tanagertrail.soak import redirected
from tanagertrail.soak.redirected import PORTS_VARIABLE, encode_ports
from tanagertrail.standins.documents import DaemonPorts

RESTART_SECONDS = 0.3
OWN_TREE = Path(redirected.__file__).parents[2]


class DaemonProcess:
    """One daemon, its settings file and its log.

    :ivar starts: event-loop time in seconds of each start
    :ivar redirected: port that it connects to, by the port that it was told
    :ivar tree: source tree whose code it runs from its next start on
    :ivar frozen: whether the process is stopped by a signal
    """

    def __init__(self, name: str, ports: DaemonPorts, settings: str, folder: Path) -> None:
        self.name = name
        self.ports = ports
        self.settings_path = folder / f"{name}.toml"
        self.log_path = folder / f"{name}.log"
        self.settings_path.write_text(settings)
        self.log = open(self.log_path, "ab")  # noqa: SIM115  closed with the world
        self.process: asyncio.subprocess.Process | None = None
        self.starts: list[float] = []
        self.redirected: dict[int, int] = {}
        self.tree = OWN_TREE
        self.frozen = False
        self.starting = asyncio.Lock()

    async def start(self) -> None:
        """Start the process."""
        # The script is this tree's, without its folder on the path; earlier trees have none.
        command = [sys.executable, "-P", redirected.__file__, "--node-file"]
        self.process = await asyncio.create_subprocess_exec(
            *command,
            str(self.settings_path),
            stdout=self.log,
            stderr=self.log,
            env=os.environ
            | {PORTS_VARIABLE: encode_ports(self.redirected), "PYTHONPATH": str(self.tree)},
        )
        self.frozen = False
        self.starts.append(asyncio.get_running_loop().time())

    @property
    def running(self) -> bool:
        """Say whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that this soak started."""
        if self.running:
            self.process.send_signal(number)

    def pause(self) -> None:
        """Stop the process without ending it."""
        self.signal(signal.SIGSTOP)
        self.frozen = True

    def resume(self) -> None:
        """Let a stopped process go on."""
        self.signal(signal.SIGCONT)
        self.frozen = False

    async def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        await self.await_end()

    async def stop(self, grace: float) -> bool:
        """Ask the process to end, and kill it after the grace; say whether it ended by itself."""
        self.resume()
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(grace):
                await self.await_end()
        except TimeoutError:
            await self.kill()
            return False
        return True

    async def await_end(self) -> None:
        """Wait until the process has ended."""
        if self.process is not None:
            await self.process.wait()

    async def restart(self, delay: float = RESTART_SECONDS) -> None:
        """Start the process again after a delay, unless it runs or another fault starts it."""
        await asyncio.sleep(delay)
        async with self.starting:
            if not self.running:
                await self.start()

    def tell_exit(self) -> int | None:
        """Return the status with which the process ended, None while it runs."""
        return self.process.returncode if self.process is not None else None
