# Shell functions to run a small tier on loopback: sourced by try-tier and try-upgrade, in the root of
# the checkout. The caller sets `programs`, the folder of pearreach-tier and stand-in-worker.
# All that is started here is ended by the exit trap; `failed=0` at the end says that all went well.

readonly host='Host: try.example'
readonly edge=127.0.0.1:19144 readiness=127.0.0.1:19140 control=127.0.0.1:19146
readonly events=8 wait_s=30 end_s=12

folder=$(mktemp -d)
declare -A running
failed=1
finish() {
  if [ "$failed" -ne 0 ]; then
    echo "FAILED; the last lines of each log:" >&2
    tail -n 5 "$folder"/*.log >&2 || true
  fi
  [ ${#running[@]} -eq 0 ] || kill -KILL "${running[@]}" 2>/dev/null || true
  rm -rf "$folder"
}
trap finish EXIT

start() {  # start NAME PROGRAM...: in the background, what it logs is kept
  local name=$1
  shift
  "$@" >>"$folder/$name.log" 2>&1 &
  running[$name]=$!
}
start_node() {  # start_node NAME: with the example's settings, but data in the temporary folder
  mkdir "$folder/$1"
  sed "s|^data_path: .*|data_path: \"$folder/$1\"|" "example/tier/$1.yaml" >"$folder/$1.yaml"
  serve_node "$1"
}
serve_node() {  # serve_node NAME: with the settings and data of its last start
  start "$1" "$programs/pearreach-tier" serve --settings "$folder/$1.yaml"
}
start_worker() {  # start_worker ID ADDRESS
  start "$1" "$programs/stand-in-worker" --worker_id "$1" --address "$2" --control $control \
    --service demo --zone loop-a --beat_ms 500 --drain_ms 500
}
stop() {  # stop NAME: SIGTERM; its exit code must be 0
  local pid=${running[$1]} end=$((SECONDS + end_s))
  kill -TERM "$pid"
  while kill -0 "$pid" 2>/dev/null && [ "$SECONDS" -lt "$end" ]; do sleep 0.1; done
  kill -KILL "$pid" 2>/dev/null && { echo "$1 did not end in $end_s s" >&2; return 1; }
  unset "running[$1]"
  wait "$pid" || { echo "$1 ended with $?" >&2; return 1; }
}
ask() {  # ask FILE ARGUMENT...: a request; its body goes to FILE, its status is printed
  local file=$1
  shift
  curl -sS -m 10 -o "$folder/$file" -w '%{http_code}' "$@" 2>"$folder/curl.log" || true
}
all_run() {  # false, and says which, if one of those that were started has ended
  local name
  for name in "${!running[@]}"; do
    kill -0 "${running[$name]}" 2>/dev/null || { echo "$name has ended" >&2; return 1; }
  done
}
until_status() {  # until_status STATUS ASK-ARGUMENT...: again and again until that status comes
  local wanted=$1 got='' end=$((SECONDS + wait_s))
  shift
  while [ "$SECONDS" -lt "$end" ]; do
    got=$(ask "$@")
    [ "$got" = "$wanted" ] && return 0
    all_run || return 1
    sleep 0.2
  done
  echo "no $wanted within $wait_s s, last: $got: $*" >&2
  return 1
}
member() { sed -n "s/.*\"$2\": *\([0-9]*\).*/\1/p" "$folder/$1"; }  # a number of a JSON answer

put_configuration() {  # the example's, as version 1
  until_status 200 config -X POST "http://$control/Config.Replace" -H 'X-Parent-Version: 0' \
    -H 'Content-Type: application/json' --data-binary @example/tier/config.json
  until_status 200 config "http://$control/Config.Read"
  echo "taken: version $(member config version_no)"
  until_status 200 ready "http://$readiness/readiness"
}
submit_batch_job() {  # submit_batch_job ID ITEMS
  local entries='' item
  for item in $(seq "$2"); do
    entries+="${entries:+,}{\"worker_id\":\"item-$item\",\"path\":\"/stream/item-$item\","
    entries+="\"headers\":{\"X-Model\":\"m\",\"X-Token-Count\":\"4,3\",\"X-Prompt-Prefix\":\"5c1e:4\"},"
    entries+='"payload":"cHJvbXB0","tokens":7}'
  done
  until_status 202 lot "http://$edge/lots-in/1" -H "$host" -H "X-Attempt-Id: $1" \
    -H 'Content-Type: application/json' -d "{\"entries\":[$entries]}"
}
await_results() {  # await_results ID ITEMS: all of them complete
  local end=$((SECONDS + wait_s)) listed=0
  while [ "$listed" != "$2" ] && [ "$SECONDS" -lt "$end" ]; do
    until_status 200 results "http://$edge/lots/$1?start_after=0" -H "$host" -H 'X-Wait-Ms: 1000'
    listed=$(member results next_token)
  done
  [ "$listed" = "$2" ] || { echo "only $listed of $2 results within $wait_s s" >&2; return 1; }
  [ "$(grep -o '"phase":"complete"' "$folder/results" | wc -l)" -eq "$2" ]
}
