#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="target/deps:stand_ins/src:review" exec python3 review/1/case.py
