#!/bin/sh
# Exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no outage.
# Writes what was sent, answered and run to record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 -m review.1.case
