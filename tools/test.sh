#!/usr/bin/env bash
# Sets up the environment, checks format, lint and types, then runs every
# feature.
set -u
cd "$(dirname "$0")/.."
bash tools/setup.sh || exit 1
.venv/bin/ruff format --check . || exit 1
.venv/bin/flake8 || exit 1
.venv/bin/mypy || exit 1
exec .venv/bin/python -m features.run_all "$@"
