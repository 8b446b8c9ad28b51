#!/usr/bin/env bash
# Builds the program that plays the scripts of the third review, with its stand-ins. It needs the
# standard library only. The project's own programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/kit-3"
mkdir -p ../bin
GOWORK=off GOFLAGS="-buildvcs=false" go build -o ../bin/play3 .
