#!/bin/sh
# Installs the libraries into target/deps, again whenever the list of them has changed,
# and precompiles the sources, so that processes start faster.
set -eu
stamp=target/deps/.requirements
wanted="$(cat deploy/requirements.txt constraints.txt)"
if [ ! -f "$stamp" ] || [ "$(cat "$stamp")" != "$wanted" ]; then
  rm -rf target/deps
  python3 -m pip install -q --target target/deps -r deploy/requirements.txt
  printf '%s' "$wanted" > "$stamp"
fi
python3 -m compileall -q target/deps packages platform || true
