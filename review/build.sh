#!/bin/sh
# The stand-ins are Python modules of the project and of this folder: nothing has to be compiled.
# Their libraries are those of the deploy file's build.
root=$(cd "$(dirname "$0")/.." && pwd)
[ -d "$root/target/deps" ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$root/target/deps:$root:$root/review" \
    python3 -c "import rig"
