#!/bin/bash
# Builds the stand-ins and the cases of the second review, with the packages of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
g++ -std=c++17 -O1 -Wall -Wextra -pthread -o build-review-2/cases \
    review/standin-2/base.cc review/standin-2/platform.cc \
    review/standin-2/replication.cc review/standin-2/cases.cc -lboost_json
