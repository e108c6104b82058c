#!/bin/sh
# Builds the stand-ins that the scripts 6 to 10 start: Python modules of this
# repository that need the packages of the deploy file's build.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH="target/deps:." exec python3 -c "
import py_compile
for name in ('review/small_site.py', 'tests/fakes/platform_site.py',
             'tests/fakes/platform_targets.py'):
    py_compile.compile(name, cfile='target/review/' + name + 'c', doraise=True)
import review.small_site
"
