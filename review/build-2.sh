#!/bin/sh
# Builds what the scripts of review/7 to review/10 start beside the routers: the project's
# stand-ins and those in review/play_2. They need only the libraries in target/deps.
set -eu
cd "$(dirname "$0")/.."
sh deploy/build.sh
python3 -m compileall -q stand_ins/src review/play_2 review/[7-9] review/10 || true
PYTHONPATH="stand_ins/src:target/deps:review/play_2" python3 -c "import clients, rig, servers"
