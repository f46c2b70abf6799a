#!/bin/sh
# Builds the stand-ins of the cases 6 to 8. No dependency and no network. The ingress is built with the deploy file's `build`.
set -eu
cd "$(dirname "$0")/kit-2"
exec cargo build --release --locked --offline
