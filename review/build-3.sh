#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for it in review/standin-3/*.cc; do
    name=$(basename "$it" .cc)
    g++ -std=c++20 -O1 -fcoroutines -DBOOST_ASIO_DISABLE_IO_URING \
        "$it" -o "target/review-3/$name" -lboost_json -lpthread &
done
for job in $(jobs -p); do wait "$job"; done
