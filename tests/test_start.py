"""Tests for the cost of starting a gateway."""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from types import SimpleNamespace

from tanagertrail.gateway import command_line
from tanagertrail.settings.gateway import GatewayTuning
from tanagertrail.standins.documents import DOMAINS, DaemonPorts, build_node_file

HEAVY_MODULES = ("cherrypy", "cheroot", "opentelemetry", "prometheus_client", "matplotlib", "fire")
LIST_MODULES_SCRIPT = "import sys, tanagertrail.gateway.command_line; print(' '.join(sys.modules))"

RELOAD_WHILE_LOADING_SCRIPT = """
import os, signal, sys

class Reloader:
    def find_spec(self, name, path, target=None):
        if name == "tanagertrail.gateway.node":
            print("reload", flush=True)
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Reloader())
from tanagertrail.gateway.program import main
main()
"""

SIGNALS_AT_THE_END_SCRIPT = """
import os, signal, sys
from types import SimpleNamespace
from tanagertrail.gateway import command_line
from tanagertrail.settings.gateway import GatewayTuning

class Node:
    def __init__(self, settings, tuning):
        start = lambda name, work: SimpleNamespace(cancel=lambda: None)
        self.supervisor = SimpleNamespace(handle_loop_error=None, start=start)

    async def start(self):
        os.kill(os.getpid(), signal.SIGTERM)

    async def stop(self):
        print("stopped", flush=True)

def close(writer):
    for name in ("SIGHUP", "SIGINT", "SIGTERM"):
        os.kill(os.getpid(), signal.Signals[name])
        print(name, flush=True)

command_line.GatewayNode = Node
command_line.LineWriter.close = close
command_line.run_process(sys.argv[1], GatewayTuning())
"""


def test_gateway_start_imports_no_heavy_operator_modules() -> None:
    """After a power failure, imports that only operators need would delay the start."""
    result = subprocess.run(
        [sys.executable, "-c", LIST_MODULES_SCRIPT], capture_output=True, text=True
    )
    assert result.returncode == 0, result.stderr
    loaded = set(result.stdout.split())
    assert loaded.isdisjoint(HEAVY_MODULES), loaded.intersection(HEAVY_MODULES)
    assert "tanagertrail.settings.daemon" not in loaded


def test_reload_signal_while_the_modules_load_ends_no_gateway() -> None:
    """Loading takes half a second, in which the default action of SIGHUP would end the process."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "node.toml")
        path.write_text(build_node_file("entry", DOMAINS[0], DaemonPorts(1, 2, 3, 4), 5, 6, []))
        result = subprocess.run(
            [sys.executable, "-c", RELOAD_WHILE_LOADING_SCRIPT, "--check", "--node-file", path],
            capture_output=True,
            text=True,
        )
    assert (result.returncode, result.stdout) == (0, "reload\nthe settings are valid\n")


class NodeOfChangedSettings:
    """A node that takes a moment to start, in which its settings file changes."""

    path: Path
    applied: list[str]

    def __init__(self, settings, tuning):
        self.supervisor = SimpleNamespace(handle_loop_error=None, start=self.start_task)

    def start_task(self, name, work):
        return asyncio.create_task(work())

    async def start(self):
        self.path.write_text(self.path.read_text().replace("grace_s = 8", "grace_s = 20"))
        asyncio.get_running_loop().call_later(2.5, os.kill, os.getpid(), signal.SIGTERM)

    def apply_settings(self, settings, cause):
        self.applied.append(f"{cause}: grace of {settings.bounds.grace:.0f} s")
        os.kill(os.getpid(), signal.SIGTERM)

    async def stop(self):
        pass


def test_settings_that_change_while_the_gateway_starts_are_not_missed() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "node.toml")
        path.write_text(build_node_file("entry", DOMAINS[0], DaemonPorts(1, 2, 3, 4), 5, 6, []))
        applied: list[str] = []
        kind = type("Node", (NodeOfChangedSettings,), {"path": path, "applied": applied})
        command_line.GatewayNode, former = kind, command_line.GatewayNode
        try:
            asyncio.run(command_line.run_node(str(path), GatewayTuning()))
        finally:
            command_line.GatewayNode = former
    assert applied == ["changed file: grace of 20 s"]


def test_signals_while_the_log_is_closed_do_not_change_how_the_gateway_ends() -> None:
    """Closing the log takes up to a second, in which a second SIGTERM ended the process."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "node.toml")
        path.write_text(build_node_file("entry", DOMAINS[0], DaemonPorts(1, 2, 3, 4), 5, 6, []))
        result = subprocess.run(
            [sys.executable, "-c", SIGNALS_AT_THE_END_SCRIPT, path], capture_output=True, text=True
        )
    assert result.stdout.split() == ["stopped", "SIGHUP", "SIGINT", "SIGTERM"], result
    assert result.returncode == 0
