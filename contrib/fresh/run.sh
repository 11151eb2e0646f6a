#!/usr/bin/env bash
# Runs property tests with new random seeds, for SECONDS_EACH seconds per package, and each
# fuzz target for as long. A failure prints its seed, and rapid stores the failing case under
# testdata/; commit it together with the fix.
set -u
cd "$(dirname "$0")/../.."
seconds_each=${SECONDS_EACH:-15}
failures=0
tmp_dir=$(mktemp -d)
trap 'rm -rf "$tmp_dir"' EXIT

# property_tests prints the names of the rapid property tests in a directory, joined by |.
property_tests() {
  awk '/^func Test/ { split($2, f, "("); name = f[1] } /rapid\.(Check|MakeCheck)/ { print name }' "$1"/*_test.go | sort -u | paste -sd '|'
}

for dir in $(grep -rlE 'rapid\.(Check|MakeCheck)' --include='*_test.go' . | xargs -n1 dirname | sort -u); do
  names=$(property_tests "$dir")
  go test -c -o "$tmp_dir/test" "$dir" || exit 1
  deadline=$((SECONDS + seconds_each)) runs=0 failed_runs=0
  while [ $SECONDS -lt $deadline ]; do
    runs=$((runs + 1))
    if ! (cd "$dir" && "$tmp_dir/test" -test.run "^($names)\$" >"$tmp_dir/out" 2>&1); then
      failed_runs=$((failed_runs + 1))
      grep -E '^ *--- FAIL|rapid.seed|failed after' "$tmp_dir/out"
    fi
  done
  echo "$dir: $runs runs, $failed_runs failed"
  failures=$((failures + failed_runs))
done

for file in $(grep -rl '^func Fuzz' --include='*_test.go' .); do
  for name in $(sed -n 's/^func \(Fuzz[A-Za-z0-9]*\)(.*/\1/p' "$file"); do
    go test -run '^$' -fuzz "^$name\$" -fuzztime "${seconds_each}s" "$(dirname "$file")" || failures=$((failures + 1))
  done
done
[ "$failures" -eq 0 ]
