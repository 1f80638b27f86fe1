#!/usr/bin/env bash
# Builds the version in production from the repository's history, for the tests that run it
# alongside the new version. Usage: build_production.sh SOURCE OUTPUT. The program is written to
# OUTPUT/walkford.
set -euo pipefail
source_dir=$1
output=$2
commit=$(sed -n 's/^production = "\([0-9a-f]\{40\}\)"$/\1/p' "$source_dir/deploy/service.toml")
if [ -z "$commit" ]; then
  echo "deploy/service.toml: expected a line production = \"<40-digit commit hash>\"" >&2
  exit 1
fi
if [ "$(git -C "$source_dir" rev-parse --is-shallow-repository)" = true ]; then
  git -C "$source_dir" fetch --quiet --unshallow || true
fi
if ! git -C "$source_dir" cat-file -e "$commit^{commit}" 2>/dev/null; then
  echo "production commit $commit from deploy/service.toml is not in the repository history" >&2
  exit 1
fi
if ! git -C "$source_dir" merge-base --is-ancestor "$commit" HEAD; then
  echo "production commit $commit from deploy/service.toml is not an ancestor of HEAD" >&2
  exit 1
fi
if [ -x "$output/walkford" ] && [ "$(cat "$output/commit" 2>/dev/null)" = "$commit" ]; then
  exit 0
fi
rm -rf "$output"
mkdir -p "$output/source"
git -C "$source_dir" archive "$commit" CMakeLists.txt src | tar -x -C "$output/source"
# Unsets the flags of the surrounding build, such as sanitizer options.
env -u CXXFLAGS -u MAKEFLAGS -u MFLAGS cmake -S "$output/source" -B "$output/build" \
  -DCMAKE_BUILD_TYPE=Release -DWALKFORD_TESTS=OFF >"$output/log" 2>&1 &&
  env -u MAKEFLAGS -u MFLAGS cmake --build "$output/build" -j4 --target walkford >>"$output/log" 2>&1 ||
  { tail -30 "$output/log" >&2; exit 1; }
cp "$output/build/walkford" "$output/walkford"
rm -rf "$output/source" "$output/build"
echo "$commit" >"$output/commit"
