#!/bin/sh
# outside_names_test.sh FOLDER: fails, naming each, where a name of outside_names.txt is lost from
# the sources below FOLDER. In which file a name stands is not asked, so that files may move; lines
# that are wholly comments do not count.
#
# path, header, json, environment, command, metric, wire: a string literal in src or include
# setting: that, or a field that is read from YAML by its name (BOOST_HANA_ADAPT_STRUCT)
# flag: that, or a flag of Abseil (ABSL_FLAG)
# xml: a name or value in deploy/pearreach.xsd, and a string literal; xml-schema: only the first
# deploy-key: FILE:KEY in deploy, with the table's name before the key
# log, log-field: a string literal in src; messages of log lines, and the names of their fields
# proto: FILE:NAME of a message or enum, or FILE:FIELD = NUMBER, in a .proto file of src
# sql, stored: a part of a string literal in src: statements, and names of files, tables and keys
# test: SUITE::CASE of CppUnit in tests, as other pages and tools name it
set -eu
export LC_ALL=C

root=$1
table=$(dirname "$0")/outside_names.txt
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

grep -v '^#' "$table" >"$work/wanted"
if grep -vE '^(path|header|json|setting|xml|xml-schema|environment|command|flag|deploy-key|metric|wire|log|log-field|proto|sql|stored|test)	.' \
  "$work/wanted"; then
  echo "outside_names.txt: the lines above have no kind or no name" >&2
  exit 1
fi

# All sources as one text: without comment lines, and with quotes inside literals as plain ones.
find "$root/src" "$root/include" -type f \( -name '*.cpp' -o -name '*.h' \) -exec cat {} + |
  sed -e '/^[[:space:]]*\/\//d' -e '/^#include/d' -e 's/\\"/"/g' >"$work/text"

cut -f2 "$work/wanted" | sed 's/.*/"&"/' | sort -u >"$work/literals"
grep -oF -f "$work/literals" "$work/text" | sort -u |
  sed 's/^"\(.*\)"$/literal	\1/' >"$work/found"

# Names that are read by macros: all arguments but the first, over several lines.
awk '
  /BOOST_HANA_ADAPT_STRUCT\(/ { inside = 1; text = "" }
  inside { text = text $0 }
  inside && /\);/ {
    inside = 0
    sub(/.*BOOST_HANA_ADAPT_STRUCT\(/, "", text)
    sub(/\);.*/, "", text)
    count = split(text, names, /[ \t]*,[ \t]*/)
    for (i = 2; i <= count; ++i) print "field\t" names[i]
  }
  /ABSL_FLAG\(/ {
    split($0, names, /[ \t]*,[ \t]*/)
    print "absl\t" names[2]
  }' "$work/text" >>"$work/found"

grep -oE '(element|attribute) name="[^"]*"|enumeration value="[^"]*"' \
  "$root/deploy/pearreach.xsd" | sed 's/.*="\(.*\)"/schema	\1/' >>"$work/found"

for file in "$root"/deploy/*.toml; do
  awk -v file="$(basename "$file")" '
    /^\[/ { gsub(/[][]/, ""); table = $0 "."; next }
    /^[A-Za-z_-]+ *=/ { sub(/ *=.*/, ""); print "key\t" file ":" table $0 }' "$file"
done >>"$work/found"

grep -oE '(message|enum) [A-Za-z]+|[A-Za-z_0-9]+ = [0-9]+' $(find "$root/src" -name '*.proto') |
  sed 's|^.*/\([^/:]*\):|\1:|; s/:message /:/; s/:enum /:/; s/^/proto\t/' >>"$work/found"

# Parts of string literals: the literals of all sources, a line each.
grep -oE '"([^"\\]|\\.)*"' "$work/text" >"$work/strings"
grep -E '^(sql|stored)	' "$work/wanted" | while IFS='	' read -r kind name; do
  grep -qF -- "$name" "$work/strings" && printf '%s\t%s\n' "$kind" "$name"
done >>"$work/found" || true

# Cases of CppUnit, by the suite that stands before them in their file.
find "$root/tests" -name '*.cpp' -exec awk '
  match($0, /CPPUNIT_TEST_SUITE\([A-Za-z0-9_]+\)/) {
    suite = substr($0, RSTART + 19, RLENGTH - 20)
  }
  match($0, /CPPUNIT_TEST\([A-Za-z0-9_]+\)/) {
    print "test\t" suite "::" substr($0, RSTART + 13, RLENGTH - 14)
  }' {} + >>"$work/found"

awk -F '\t' '
  NR == FNR { found[$1, $2] = 1; next }
  {
    literal = (("literal", $2) in found)
    kept = literal
    if ($1 == "setting") kept = literal || (("field", $2) in found)
    if ($1 == "flag") kept = literal || (("absl", $2) in found)
    if ($1 == "xml") kept = literal && (("schema", $2) in found)
    if ($1 ~ /^(proto|sql|stored|test)$/) kept = (($1, $2) in found)
    if ($1 == "xml-schema") kept = (("schema", $2) in found)
    if ($1 == "deploy-key") kept = (("key", $2) in found)
    if (!kept) { print "lost: " $1 " " $2; bad = 1 }
  }
  END { exit bad }' "$work/found" "$work/wanted"
echo "$(wc -l <"$work/wanted") names are there"
