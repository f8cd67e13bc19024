#!/usr/bin/env bash
# Builds the stand-ins of the cases: plain Python, checked for syntax only.
# The gateway comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for file in support/*.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
