#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start. The hosts come from the
# build line of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
