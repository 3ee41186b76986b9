#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The programs of the project are built by the
# "build" line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-rig ./review/rig
