#!/bin/sh
# Replaces processes of the build in production by processes of this one, one by one under load, with
# a step back in between. Prints what callers got, and fails if a request was cut or a change lost.
set -eu
cd "$(dirname "$0")/.."
former=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/system.toml)
folder=target/upgrade
trap 'git worktree remove --force "$folder/source"' EXIT
git worktree add --force --detach "$folder/source" "$former"
cargo build --locked -p daisyhinge-platform \
    --manifest-path "$folder/source/Cargo.toml" --target-dir "$folder/target"
DAISYHINGE_FORMER="$PWD/$folder/target/debug/daisyhinge-platform" \
    cargo test --locked -p daisyhinge-platform --test upgrade -- --ignored --nocapture
