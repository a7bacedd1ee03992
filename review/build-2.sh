#!/bin/sh
# Builds bin/review-2, which plays the cases 6 to 10 with all their stand-ins. It needs the Go tool chain and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
cd review/tools-2
GOWORK=off go build -buildvcs=false -o ../../bin/review-2 .
