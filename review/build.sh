#!/bin/bash
# Builds the stand-ins of the cases, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cc; do
    name=$(basename "$source" .cc)
    g++ -std=c++17 -O1 -pthread -o "target/review/$name" "$source" -lboost_json
done
