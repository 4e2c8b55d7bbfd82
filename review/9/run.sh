#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build-2.sh.
set -euo pipefail
cd "$(dirname "$0")/../.."
if [ ! -f target/coltsfootwheel.jar ] || [ ! -f target/review-2/RaisedLimit.class ]; then
  echo "build the deploy file and run review/build-2.sh first" >&2
  exit 2
fi
exec java -Xmx256m -XX:+UseSerialGC -cp target/review-2 RaisedLimit review/9/record.txt
