#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start: they are Python
# modules, run with the libraries that the build line of the deploy file installs.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." python3 -c "import review.stage"
