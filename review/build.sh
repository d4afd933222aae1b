#!/usr/bin/env bash
# Prepares the stand-ins that the scripts of this folder start: the project's own, which
# the build of the deploy file puts into target/deps, and harness.py beside this file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile review/harness.py review/[1-5]/*.py
PYTHONPATH=target/deps python3 -c '
import rhubarbspan.standins.platform_store
import rhubarbspan.standins.platform_deployment'
