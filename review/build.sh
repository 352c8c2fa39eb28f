#!/bin/sh
# Puts the stand-ins that the scripts start, the project's own and those of the review,
# under target/review, and checks that they can be imported with target/deps.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -R packages/swifttide_standins/src/swifttide_standins target/review/
cp -R review/support target/review/review_support
find target/review -type d \( -name tests -o -name __pycache__ \) -prune -exec rm -rf {} +
REVIEW_ROOT=. PYTHONPATH=target/deps:target/review python3 -c "import review_support"
