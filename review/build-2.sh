#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, with the JDK alone. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
rm -rf target/classes
mkdir -p target/classes
javac --release 17 -encoding UTF-8 -d target/classes src/review2/*.java
