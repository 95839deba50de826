#!/bin/sh
# Builds what the scripts of the cases start. The stand-ins are Python and need no dependency beyond those of
# the deploy file, so that byte code is all there is to make; it is written below target/.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
PYTHONPYCACHEPREFIX=target/review python3 -m compileall -q review tests/standins
