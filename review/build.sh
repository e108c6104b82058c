#!/bin/sh
# Builds what the review's scripts start: the packages of the deploy file and
# the stand-ins, which are Python modules of this repository.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
    python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
fi
PYTHONPATH=target/deps:. python3 -c "import review.harness"
