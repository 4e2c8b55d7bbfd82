#!/bin/bash
# Builds the stand-ins of the review's scripts into target/review. Needs only the JDK.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/standin/review/*.java
