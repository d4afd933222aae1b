#!/usr/bin/env bash
# Prepares the stand-ins that the scripts of this folder start: the project's own, which
# the build of the deploy file puts into target/deps, and harness.py beside this file. All
# are Python, so that nothing is compiled; the imports show that they are complete.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=target/deps:review python3 -c '
import harness, rhubarbspan.standins.platform_store, rhubarbspan.standins.platform_deployment'
for file in review/[1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
