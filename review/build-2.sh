#!/bin/sh
# The stand-ins of the cases 6 and 7 need Python 3.11 alone; checks that they load.
set -e
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
for module in web_2 store_2 replica_2 routers_2 client_2 site_2; do
  python3 -c "import review.$module"
done
