#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/4 and later. The build line of the deploy file
# builds the program under test.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-2 ./review/rig-2
