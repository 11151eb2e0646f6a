#!/usr/bin/env bash
# Starts the processes of a layout on loopback, drives them and ends them all.
# usage: run.sh BIN-FOLDER [LAYOUT [drive|drill|rest|load]]
set -u
bin=$1
layout=${2:-flagpost}
what=${3:-drive}
folder=$(mktemp -d)
pids=()

end_all() {
  rm -f "$folder"/*.restart
  for file in "$folder"/*.pid; do pids+=("$(cat "$file")"); done
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
  for _ in $(seq 100); do
    alive=0
    for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
    [ $alive = 0 ] && break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$folder"
}
trap end_all EXIT

"$bin/demo" targets "$layout" >"$folder/targets.log" 2>&1 &
pids+=($!)
while read -r name arguments; do
  # The subshell notes the end of the process, which the driver waits for.
  # shellcheck disable=SC2086
  (
    while :; do
      "$bin/ledgesill" $arguments >>"$folder/$name.log" 2>&1 &
      echo $! >"$folder/$name.pid"
      wait $!
      ended=$?
      [ -f "$folder/$name.restart" ] || break
      rm "$folder/$name.restart"
    done
    echo $ended >"$folder/$name.ended"
  ) &
  pids+=($!)
done < <("$bin/demo" plan "$layout" "$folder" "$what")
sleep 0.5

"$bin/demo" "$what" "$layout" "$folder"
verdict=$?
[ -n "${DEMO_LOGS:-}" ] && cp "$folder"/*.log "$DEMO_LOGS"
if [ $verdict != 0 ]; then
  tail -n 5 "$folder"/*.log
fi
exit $verdict
