#!/bin/sh
# Builds the stand-ins of the cases into target/review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/common/*.java $(find review/[0-9]* -name '*.java')
