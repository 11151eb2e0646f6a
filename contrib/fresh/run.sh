#!/usr/bin/env bash
# Runs property tests with fresh seeds and fuzz targets for SECONDS_EACH a package. A failure
# prints the seed, and rapid keeps the case under testdata/, to be committed with its fix.
set -u
cd "$(dirname "$0")/../.."
seconds=${SECONDS_EACH:-15}
failed=0
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT

# properties prints the names of the tests in a folder that draw values, joined by |.
properties() {
  awk '/^func Test/ { split($2, f, "("); name = f[1] } /rapid\.(Check|MakeCheck)/ { print name }' "$1"/*_test.go | sort -u | paste -sd '|'
}

for folder in $(grep -rlE 'rapid\.(Check|MakeCheck)' --include='*_test.go' . | xargs -n1 dirname | sort -u); do
  names=$(properties "$folder")
  go test -c -o "$bin/test" "$folder" || exit 1
  end=$((SECONDS + seconds)) runs=0 bad=0
  while [ $SECONDS -lt $end ]; do
    runs=$((runs + 1))
    if ! (cd "$folder" && "$bin/test" -test.run "^($names)\$" >"$bin/out" 2>&1); then
      bad=$((bad + 1))
      grep -E '^ *--- FAIL|rapid.seed|failed after' "$bin/out"
    fi
  done
  echo "$folder: $runs runs, $bad failed"
  failed=$((failed + bad))
done

for file in $(grep -rl '^func Fuzz' --include='*_test.go' .); do
  for name in $(sed -n 's/^func \(Fuzz[A-Za-z0-9]*\)(.*/\1/p' "$file"); do
    go test -run '^$' -fuzz "^$name\$" -fuzztime "${seconds}s" "$(dirname "$file")" || failed=$((failed + 1))
  done
done
[ "$failed" -eq 0 ]
