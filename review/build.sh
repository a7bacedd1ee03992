#!/bin/sh
# Builds the stand-ins of the cases. It needs Go and no network.
set -eu
cd "$(dirname "$0")/tools"
mkdir -p ../bin
GOFLAGS= GOWORK=off go build -o ../bin/reviewtools .
