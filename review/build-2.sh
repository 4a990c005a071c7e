#!/usr/bin/env bash
# Builds what the scripts of the second review start: the gateway's dependencies, as the deploy file
# does, and the project's own stand-ins, which are Python and need no more than these.
set -eu
cd "$(dirname "$0")/.."
[ target/deps -nt deploy/requirements.txt ] ||
    python3 -m pip install -q -U --no-deps --target target/deps -r deploy/requirements.txt
PYTHONPATH=target/deps python3 -c "import tanagertrail.gateway.node, tanagertrail.standins.store"
