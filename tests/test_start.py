"""What a daemon's start may cost."""

import subprocess
import sys

HEAVY_MODULES = ("cherrypy", "cheroot", "opentelemetry", "prometheus_client", "matplotlib", "fire")
LISTING = "import sys, tanagertrail.gateway.program; print(' '.join(sys.modules))"


def test_a_start_after_a_loss_of_power_imports_what_only_operators_need() -> None:
    result = subprocess.run([sys.executable, "-c", LISTING], capture_output=True, text=True)
    assert result.returncode == 0, result.stderr
    loaded = set(result.stdout.split())
    assert loaded.isdisjoint(HEAVY_MODULES), loaded.intersection(HEAVY_MODULES)
    assert "tanagertrail.settings.daemon" not in loaded
