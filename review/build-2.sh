#!/bin/sh
# Builds the stand-ins of the second review's scripts: Python sources that need only
# what the build of the deploy file has put under target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:packages/swifttide_standins/src:review \
  python3 -c "import swifttide_standins.print_office, stand_ins_2"
