#!/bin/sh
# Builds the stand-ins of the cases into target/.
set -e
cd "$(dirname "$0")/.."
go build -o target/ ./review/casekit
