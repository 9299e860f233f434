#!/usr/bin/env bash
# Builds the stand-ins of all cases; needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf standin/classes
mkdir -p standin/classes
javac -d standin/classes standin/*.java
