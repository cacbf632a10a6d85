#!/bin/sh
# Writes what was sent, answered and run to review/10/record.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || exit 2
export PYTHONPATH=".:review/support-2"
.venv/bin/python -c "import fleet" || exit 2
exec .venv/bin/python review/10/run.py
