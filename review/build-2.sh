#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/. The entry program is built by the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go -C review/harness-2 build -o ../../target/review-2 .

# The stand-ins of the cases 10 to 13.
go -C review/harness-3 build -o ../../target/review-3 .
