#!/bin/sh
# Puts the daemon and the libraries it imports under target/deps. Runs again only
# when a source or a pin is newer than the last build.
set -eu
cd "$(dirname "$0")/.."
stamp=target/.built
if [ -f "$stamp" ] && [ -z "$(find packages constraints.txt deploy/build.sh deploy/requirements.txt \
    -newer "$stamp" \( -name '*.py' -o -name '*.txt' -o -name '*.sh' \) -print | head -1)" ]; then
  exit 0
fi
rm -rf target/deps
mkdir -p target/deps
python3 -m pip install -q --disable-pip-version-check --no-compile \
  --target target/deps -c constraints.txt -r deploy/requirements.txt
cp -R packages/swifttide_core/src/swifttide_core target/deps/
cp -R packages/swifttide_daemon/src/swifttide_daemon target/deps/
find target/deps -type d \( -name tests -o -name __pycache__ \) -prune -exec rm -rf {} +
# Compiled now: the machines may not write here, and would compile at each start.
python3 -m compileall -q target/deps
touch "$stamp"
