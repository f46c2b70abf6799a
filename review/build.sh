#!/bin/sh
# Builds the stand-ins and clients of the cases. No dependency and no network.
cd "$(dirname "$0")/kit" && exec cargo build --release --locked --offline --target-dir target
