#!/bin/bash
# Builds the stand-ins that the scripts start, into review/harness/bin.
set -e
cd "$(dirname "$0")/harness"
mkdir -p bin
GOFLAGS="-buildvcs=false" CGO_ENABLED=0 go build -o bin/reviewcase .
