#!/bin/sh
# Builds the scripts of the cases 6 to 9 and their stand-ins, which lie beside the first of them; needs a JDK only.
set -e
cd "$(dirname "$0")/.."
standins=""
for name in Wire Json Store Runner World Client Check Proxy; do
    standins="$standins review/6/$name.java"
done
for number in 6 7 8 9; do
    out="target/review-2/$number"
    mkdir -p "$out"
    javac -nowarn -d "$out" $standins "review/$number/Case.java"
done
