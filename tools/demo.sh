#!/usr/bin/env bash
# Sets up the environment, then runs a small deployment and one request; see
# demo.py.
set -eu
cd "$(dirname "$0")/.."
bash tools/setup.sh
exec .venv/bin/python tools/demo.py "$@"
