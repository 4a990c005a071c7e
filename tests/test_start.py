"""Tests for the cost of starting a gateway."""

import subprocess
import sys

HEAVY_MODULES = ("cherrypy", "cheroot", "opentelemetry", "prometheus_client", "matplotlib", "fire")
LIST_MODULES_SCRIPT = "import sys, tanagertrail.gateway.program; print(' '.join(sys.modules))"


def test_gateway_start_imports_no_heavy_operator_modules() -> None:
    """After a power failure, imports that only operators need would delay the start."""
    result = subprocess.run(
        [sys.executable, "-c", LIST_MODULES_SCRIPT], capture_output=True, text=True
    )
    assert result.returncode == 0, result.stderr
    loaded = set(result.stdout.split())
    assert loaded.isdisjoint(HEAVY_MODULES), loaded.intersection(HEAVY_MODULES)
    assert "tanagertrail.settings.daemon" not in loaded
