#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
export SSL_CERT_FILE=/dev/null SSL_CERT_DIR=/dev/null
python3 -c "import importlib; importlib.import_module('review.4.case')" || exit 2
exec python3 -m review.4.case
