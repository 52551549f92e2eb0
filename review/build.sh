#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
