#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/. The entry program is built by the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go -C review/harness-2 build -o ../../target/review-2 .

# The stand-ins of the third review.
(cd "$(dirname "${BASH_SOURCE[0]}")/harness-3" && go build -o ../../bin/bmcase3 .)
