#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start. They use the standard
# library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cd review/standin-3
GOWORK=off CGO_ENABLED=0 GOFLAGS=-mod=mod GOPROXY=off go test -c -o ../../target/review-3/standin .
