"""The fault matrix: no promise is broken by any fault at any step."""

from tanagertrail.bench.matrix import check_cell, iter_cells, run_cell
from tanagertrail.testing import run_in_virtual_time


def test_every_fault_at_every_step():
    broken = {}
    for cell in iter_cells():
        result = run_in_virtual_time(run_cell(cell))
        if found := check_cell(result):
            broken[cell] = (found, result.outcome, result.resent)
    assert not broken, "\n".join(f"{cell}: {found}" for cell, found in broken.items())
