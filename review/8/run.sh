#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:packages/swifttide_standins/src:review \
  PYTHONDONTWRITEBYTECODE=1 exec python3 review/8/case.py
