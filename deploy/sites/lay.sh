#!/bin/sh
# Lays beside each deployment of ours what the operators' bench wants there and what is theirs: the names on the sockets
# and the wire (sites/real.json and wire.json of their kit) and the lines that unlock days. None of it names a class.
#   deploy/sites/lay.sh KIT
set -eu
kit=${1:?"lay.sh KIT: the folder of the operators' kit"}
here=$(dirname "$0")
for site in "$here"/*/; do
    for file in real.json wire.json unlock.txt; do
        cp "$kit/sites/$file" "$site$file"
    done
done
