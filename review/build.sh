#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They need the standard library only.
set -eu
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-mod=mod go build -o bin/rig ./rig
