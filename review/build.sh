#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They need the standard library only, and
# are test files, since only tests and stand-ins may know the platform's names.
set -eu
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-mod=mod go test -c -o bin/rig ./rig
