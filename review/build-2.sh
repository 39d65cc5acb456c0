#!/bin/sh
# Builds the stand-ins of the cases 6 to 9 into target/review-2, with the Rust tool chain alone: they use nothing
# but the standard library, and no network. To be run after the build of the deploy file.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
for name in drain record stale; do
    rustc --edition 2021 -O -o "$root/target/review-2/$name" "$root/review/standins-2/$name.rs"
done
rustc --edition 2021 -O -o "$root/target/review-2/slow_dependency" "$root/review/platform/slow_dependency.rs"
