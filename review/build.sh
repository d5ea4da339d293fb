#!/bin/sh
# The stand-ins are Python modules: checks that they load with the built libraries.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:.:review" PYTHONDONTWRITEBYTECODE=1 python3 -c "import deployment"
