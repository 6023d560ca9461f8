#!/usr/bin/env bash
# Builds the stand-ins of the scripts, which have no dependencies, and the former build that case 2
# starts, with the packages that its own lock file names. No network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standins/Cargo.toml --target-dir target/review

# `production` of deploy/system.toml when the case was written.
production=27416a20adc8c5e6d436c81303c2d21ad3e024e2
program=target/review/production/daisyhinge-platform
build_production() {
    local source=target/review/source
    rm -rf "$source" && mkdir -p "$source" target/review/production || return 1
    git archive "$production" | tar -x -C "$source" || return 1
    cargo build --release --locked -p daisyhinge-platform \
        --manifest-path "$source/Cargo.toml" --target-dir target/review/production-build || return 1
    cp target/review/production-build/release/daisyhinge-platform "$program"
}
if [ ! -x "$program" ] && ! build_production; then
    echo "the build $production could not be made: review/2/run.sh will exit with 2" >&2
fi
