#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: those of this folder and the project's own
# store, which lies in target/deps after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib
import sys

for name in ("stage", "network", "6/case", "7/case", "8/case", "9/case", "10/case"):
    file = pathlib.Path(f"{name}.py")
    ast.parse(file.read_text(), str(file))
sys.path.insert(0, "../target/deps")
import rhubarbspan.standins.listening
import rhubarbspan.standins.platform_store
PYTHON
