#!/bin/sh
# Prepares the stand-ins that the scripts of the review start. They are Python and use
# the libraries that the build of the deploy file has put into target/deps, so there is
# nothing to fetch: this compiles them, and fails if one can't be imported.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q stand_ins/src review/shared
PYTHONPATH="target/deps:stand_ins/src:review" python3 -c "import shared.runner, shared.deployment, shared.worker"
