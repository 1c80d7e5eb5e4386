#!/usr/bin/env bash
# The stand-ins of the cases need the standard library only; checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
for module in case client fleet http platform record replica rollout; do
  python3 -c "import review.$module"
done
