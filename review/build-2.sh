#!/bin/sh
# The stand-ins of cases 6 to 10 are Python: checks that they load.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c "import world2"
