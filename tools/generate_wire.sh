#!/usr/bin/env bash
# Generates damaskpoint/wire/generated from peer.thrift. The result is
# committed, so the thrift compiler is needed only when peer.thrift changes.
set -eu
cd "$(dirname "$0")/.."
scratch="$(mktemp -d)"
trap 'rm -rf "$scratch"' EXIT
thrift --gen py:slots,enum --out "$scratch" damaskpoint/wire/peer.thrift
rm -rf damaskpoint/wire/generated
cp -r "$scratch/damaskpoint/wire/generated" damaskpoint/wire/generated
rm -f damaskpoint/wire/generated/peer/*-remote
