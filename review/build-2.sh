#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. None of its cases has a
# script so far.
set -euo pipefail
