"""Ports for stand-ins and daemons under test."""

import subprocess
import sys

from tanagertrail.standins.ports import claim_block, find_port

SHOW_PORT = "from tanagertrail.standins.ports import find_port; print(find_port()); input()"


def test_two_processes_that_test_at_once_pick_the_same_ports():
    """Soak seed 1101: a killed daemon found its port taken by a test suite beside the soak."""
    own = {find_port() for _ in range(200)}
    others = []
    for _ in range(3):
        process = subprocess.Popen(
            [sys.executable, "-c", SHOW_PORT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        others.append(process)
    blocks = {int(process.stdout.readline()) // 600 for process in others}
    for process in others:
        process.communicate("\n")
    assert len(blocks) == 3
    assert not blocks & {port // 600 for port in own}


def test_claimed_block_is_claimed_again():
    first, second = claim_block(), claim_block()
    try:
        assert first.claim.getsockname() != second.claim.getsockname()
    finally:
        first.claim.close()
        second.claim.close()
