#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to 10 start; needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/rig-2/*.java
