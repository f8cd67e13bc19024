#!/usr/bin/env bash
# Creates .venv with the project and its development tools. Does nothing
# if .venv was already set up for the current pyproject.toml.
set -eu
cd "$(dirname "$0")/.."
stamp=.venv/stamp-$(sha256sum pyproject.toml | cut -c1-16)
if [ ! -e "$stamp" ]; then
  python3.11 -m venv .venv
  .venv/bin/pip install --quiet --editable '.[dev]' 2>&1 | grep -v '^WARNING: Location' || true
  .venv/bin/python -c 'import tornado, thrift, behave, damaskpoint'
  touch "$stamp"
fi
