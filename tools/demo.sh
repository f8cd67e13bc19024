#!/usr/bin/env bash
# Sets up the environment, then starts a small deployment and sends one request
# through it; see demo.py.
set -eu
cd "$(dirname "$0")/.."
bash tools/setup.sh
exec .venv/bin/python tools/demo.py "$@"
