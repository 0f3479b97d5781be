#!/usr/bin/env bash
# Builds the programs that the cases start, as the deploy file says. The stand-ins are Python scripts and need no build.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --profile dist --locked -p bramblewheel-platform
