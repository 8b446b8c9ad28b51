#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases and the program that plays them. It needs
# the standard library only. The project's own programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/kit-2"
mkdir -p ../bin
GOWORK=off GOFLAGS="-buildvcs=false" go build -o ../bin/play2 .
