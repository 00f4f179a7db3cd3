#!/bin/sh
# Copies the files that the operators' bench needs from their kit into the folder of each of our deployments: the names
# on sockets and on the wire (sites/real.json and wire.json) and the lines that unlock days. No file names a class.
# usage: deploy/sites/lay.sh KIT
set -eu
kit=${1:?"lay.sh KIT: the folder of the operators' kit"}
here=$(dirname "$0")
for site in "$here"/*/; do
    for file in real.json wire.json unlock.txt; do
        cp "$kit/sites/$file" "$site$file"
    done
done
