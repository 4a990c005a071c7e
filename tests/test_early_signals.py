"""Signals that reach a daemon before it runs."""

import asyncio
import os
import re
import signal
import sys
import tempfile
from pathlib import Path

from tanagertrail.soak import redirected
from tanagertrail.soak.redirected import PORTS_VARIABLE, encode_ports

CHECK_SECONDS = 0.005
IGNORED = re.compile(r"^SigIgn:\s*([0-9a-f]+)$", re.MULTILINE)
READ_SECONDS = 20.0
REFUSED_SETTINGS = 2
COMMANDS = (["-m", "tanagertrail.gateway.program"], [redirected.__file__])


async def signal_early(command: list[str], folder: str) -> int:
    """Send SIGHUP to a daemon that is starting and return the status with which it ends."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *command,
        "--node-file",
        str(Path(folder) / "missing.toml"),
        stderr=asyncio.subprocess.DEVNULL,
        env=os.environ | {PORTS_VARIABLE: encode_ports({})},
    )
    while process.returncode is None and not ignores_reload(process.pid):
        await asyncio.sleep(CHECK_SECONDS)
    assert process.returncode is None, f"{command} never ignored SIGHUP"
    process.send_signal(signal.SIGHUP)
    async with asyncio.timeout(READ_SECONDS):
        return await process.wait()


def ignores_reload(pid: int) -> bool:
    """Say whether a process ignores SIGHUP, as the kernel tells."""
    try:
        status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    except OSError:
        return False  # it has just ended
    return bool(int(IGNORED.search(status)[1], 16) >> (signal.SIGHUP - 1) & 1)


def test_reload_before_a_daemon_has_read_its_settings_ends_it():
    """Seed 6104: SIGHUP came while a daemon that was started again still imported its modules."""
    with tempfile.TemporaryDirectory() as folder:
        for command in COMMANDS:
            status = asyncio.run(signal_early(command, folder))
            assert status == REFUSED_SETTINGS, (command, status)
