#!/bin/sh
# Builds the stand-ins and scripted cases of the third review.
cd "$(dirname "$0")/.." && go build -o target/review-3 ./review/kit3
