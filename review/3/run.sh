#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root"
REVIEW_ROOT="$root" PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$root/target/review:$root/target/deps" \
  exec python3 "$here/case.py"
