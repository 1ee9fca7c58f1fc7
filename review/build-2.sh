#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review-2; needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all,-try -encoding UTF-8 -d target/review-2 review/common-2/*.java
