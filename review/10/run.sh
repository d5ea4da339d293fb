#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=".." PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
