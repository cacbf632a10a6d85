#!/bin/sh
# Compiles the stand-ins that the scripts 6 to 10 start. They need the `.venv` of the deploy file's build and nothing more.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q standins review/support-2
for number in 6 7 8 9 10; do
    if test -f "review/$number/run.py"; then
        .venv/bin/python -m py_compile "review/$number/run.py"
    fi
done
