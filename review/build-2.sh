#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The ingress itself is built with the deploy file's `build` command.
set -eu
cd "$(dirname "$0")/kit-2"
exec cargo build --release --locked
