#!/bin/sh
# Writes the tables of docs/CAPACITY.md and docs/ROADMAP.md from results/*.json, letter.toml and rows.toml.
# usage: bench/scale/page.sh
set -eu
cd "$(dirname "$0")/../.."
. bench/scale/common.sh
measure gullspar.capacity.CapacityPage .
