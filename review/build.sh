#!/usr/bin/env bash
# Prepares the stand-ins of the review's scripts. They are Python without
# packages, so that nothing is compiled; a syntax error shows here.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins/*.py */case.py; do
  [ -f "$file" ] || continue
  python3 - "$file" <<'CHECK'
import ast
import sys

ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])
CHECK
done
