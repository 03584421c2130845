#!/usr/bin/env bash
# What tools/regression decides, against a stand-in for the bench: whose turn it is, what a fall and
# a broken rule are, and that wrong use runs nothing.
set -euo pipefail
tool=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
bad=0
check() { [ "$1" = "$2" ] || { echo "line ${BASH_LINENO[0]}: '$1' is not '$2'"; bad=1; }; }

mkdir -p "$dir/kit/more/bin" "$dir/kit/more/ops/bin"
cat >"$dir/kit/more/bin/lbreal" <<'S'
#!/usr/bin/env bash
echo "$0 $*" >>"$STANDIN/calls"
cat "$STANDIN/says"
S
chmod +x "$dir/kit/more/bin/lbreal"
cp "$dir/kit/more/bin/lbreal" "$dir/kit/more/ops/bin/lbreal"
export STANDIN=$dir
run() {  # WHAT_THE_BENCH_SAYS NOTE...
  printf '%s\n' "$1" >"$dir/says"
  shift
  code=0
  "$tool" --kit "$dir/kit" --record "$dir/record" "$@" >"$dir/out" 2>"$dir/err" || code=$?
}
figure() { echo "score of the real nodes $1 (the weighted mean of the days)"; }

run "$(figure 0.5)" "A first change"
check $code 0
check "$(tail -n 1 "$dir/out")" "panel fleet, quick days: 0.5 (last none), kept"
run "$(figure 0.995)" "The same"
check "$(tail -n 1 "$dir/out")" "panel later, quick days: 0.995 (last none), kept"
run "$(figure 0.557)" "The same"
check "$(tail -n 1 "$dir/out")" "panel operators, quick days: 0.557 (last none), kept"
check "$(sed 's/.*kit.more.//; s/ score [^ ]*//' "$dir/calls" | tr '\n' ';')" \
  "bin/lbreal --quick --why A first change;bin/lbreal --panel later --quick --why The same;ops/bin/lbreal --quick --why The same;"

run "$(figure 0.470)" "Falls by no more than it may"
check "$code $(tail -n 1 "$dir/out")" "0 panel fleet, quick days: 0.470 (last 0.5), kept"
run "$(figure 0.964)" "Falls by 0.031"
check "$code $(tail -n 1 "$dir/out")" "1 panel later, quick days: 0.964 (last 0.995), fallen"
run "$(printf 'upgrade  G 0.1  score 0.00  BROKEN: lost\n'; figure 0.9)" "Breaks a rule"
check "$code $(tail -n 1 "$dir/out")" "1 panel operators, quick days: 0.9 (last 0.557), broken"
run "$(printf 'GATE failed: herd+mass\n'; figure 0.9)" "Fails a gate"
check "$code" 1
run "$(figure 0.990)" "The figure that fell is no measure"
check "$code $(tail -n 1 "$dir/out")" "0 panel later, quick days: 0.990 (last 0.995), kept"
run "$(figure 0.9)" --full "All days are held against all days"
check "$code $(tail -n 1 "$dir/out")" "0 panel operators, full days: 0.9 (last none), kept"
check "$(tail -n 1 "$dir/calls" | sed 's/.*toml//')" " --why All days are held against all days"
run "the build failed" "No figure"
check "$code" 1
check "$(cat "$dir/err")" "tools/regression: panel fleet gave no figure (exit code 0)"

calls=$(wc -l <"$dir/calls")
run "$(figure 0.5)"
check "$code $(wc -l <"$dir/err")" "2 1"
run "$(figure 0.5)" "$(printf 'x%.0s' {1..120})"
check "$code $(cat "$dir/err")" \
  "2 tools/regression: the note must be one line under 120 characters; it has 120"
code=0
"$tool" --kit "$dir/none" --record "$dir/record" "A note" >/dev/null 2>"$dir/err" || code=$?
check "$code $(wc -l <"$dir/err")" "2 1"
check "$(wc -l <"$dir/calls")" "$calls"
exit $bad
