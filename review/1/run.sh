#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec env PYTHONPATH=target/deps:. SSL_CERT_FILE=/dev/null SSL_CERT_DIR=/dev/null \
    PYTHONDONTWRITEBYTECODE=1 python3 -m review.1.case
