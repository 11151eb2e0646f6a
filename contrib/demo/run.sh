#!/usr/bin/env bash
# Starts the processes of a layout on loopback, runs a demo command on them and stops them all.
# usage: run.sh BIN-DIR [LAYOUT [drive|drill|rest|load]]
set -u
bin=$1
layout=${2:-flagpost}
command=${3:-drive}
dir=$(mktemp -d)
pids=()

end_all() {
  rm -f "$dir"/*.restart
  for file in "$dir"/*.pid; do pids+=("$(cat "$file")"); done
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
  for _ in $(seq 100); do
    alive=0
    for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
    [ $alive = 0 ] && break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$dir"
}
trap end_all EXIT

"$bin/demo" targets "$layout" >"$dir/targets.log" 2>&1 &
pids+=($!)
while read -r name arguments; do
  # The subshell restarts the process if the driver asked for it. When the process has ended for
  # good, it writes the .ended file that the driver waits for.
  # shellcheck disable=SC2086
  (
    while :; do
      "$bin/ledgesill" $arguments >>"$dir/$name.log" 2>&1 &
      echo $! >"$dir/$name.pid"
      wait $!
      exit_code=$?
      [ -f "$dir/$name.restart" ] || break
      rm "$dir/$name.restart"
    done
    echo $exit_code >"$dir/$name.ended"
  ) &
  pids+=($!)
done < <("$bin/demo" plan "$layout" "$dir" "$command")
sleep 0.5

"$bin/demo" "$command" "$layout" "$dir"
status=$?
[ -n "${DEMO_LOGS:-}" ] && cp "$dir"/*.log "$DEMO_LOGS"
if [ $status != 0 ]; then
  tail -n 5 "$dir"/*.log
fi
exit $status
