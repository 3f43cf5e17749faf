#!/bin/sh
# Builds the scripts of the cases 11 to 15 and their stand-ins, which lie beside the first of them; needs a JDK only.
set -e
cd "$(dirname "$0")/.."
standins=""
for name in Json Wire Store Runner World Template Client Garble; do
    standins="$standins review/11/$name.java"
done
for number in 11 12 13 14 15; do
    if [ -f "review/$number/Case.java" ]; then
        mkdir -p "target/review-3/$number"
        javac -nowarn -d "target/review-3/$number" $standins "review/$number/Case.java"
    fi
done
