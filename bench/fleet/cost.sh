#!/bin/sh
# Measures what the view of the fleet costs a process: runs the same day without faults with real processes, in turn
# with and without the view, and prints the median and maximum of the proxies' share of a core and of their resident
# memory in the middle of the day. Before that it starts one proxy on one core, in turn with and without the view, until
# it is warmed up. Its output is in docs/fleet.md.
# usage: bench/fleet/cost.sh [PROXIES [PAIRS [STARTS]]]
set -eu
cd "$(dirname "$0")/../.."
exec python3 - "${1:-100}" "${2:-3}" "${3:-9}" <<'EOF'
import json, os, socket, statistics, subprocess, sys, tempfile, time

count, pairs, starts = (int(a) for a in sys.argv[1:4])
TICK, PAGE = os.sysconf("SC_CLK_TCK"), os.sysconf("SC_PAGE_SIZE")
DAY = """
title = "quiet"
seconds = 60
[proxies]
count = %d
start_s = 1
%s
[[nodes]]
kind = "node"
count = 4
slots = 8
connections = 4000
[[class]]
name = "look"
effect = "idempotent"
share = 1
work_ms = [2, 4]
promise_ms = 1000
give_up_ms = 2000
[clients]
rate = %d
"""


def free(kind):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % s.getsockname()[1]


def start(peers, folder):
    settings = json.load(open("deploy/warm.json"))
    settings["listen"], settings["operator"] = free(socket.SOCK_STREAM), free(socket.SOCK_STREAM)
    if peers:
        with open(folder + "/fleet.key", "w") as key:
            key.write("ab" * 32 + "\n")
        with open(folder + "/fleet.toml", "w") as file:
            file.write('[fleet]\nname = "p1"\nbind = "%s"\nseeds = []\nkey_file = "%s/fleet.key"\n'
                       % (free(socket.SOCK_DGRAM), folder))
        settings["operators_file"] = folder + "/fleet.toml"
    with open(folder + "/config.json", "w") as file:
        json.dump(settings, file)
    began = time.monotonic()
    with subprocess.Popen(["taskset", "-c", "0", "sh", "deploy/serve.sh"], stderr=subprocess.PIPE, text=True,
                          env=dict(os.environ, NODE_CONFIG=folder + "/config.json")) as p:
        for line in p.stderr:
            if line.rstrip().endswith("requests to warm up"):  # the rest of the start waits for discovery
                break
        else:
            raise SystemExit("the proxy ended before it was warm")
        seconds = time.monotonic() - began
        p.kill()
    return seconds


def children(of):
    kids = [int(p) for p in os.listdir("/proc") if p.isdigit() and parent(p) == of]
    return [k for k in kids if b"gullspar.Main" in read("/proc/%d/cmdline" % k)]


def read(path):
    try:
        return open(path, "rb").read()
    except OSError:
        return b""


def fields(pid):
    return read("/proc/%s/stat" % pid).rpartition(b")")[2].split()


def parent(pid):
    f = fields(pid)
    return int(f[1]) if f else 0


def busy(pid):
    f = fields(pid)
    return (int(f[11]) + int(f[12])) / TICK


def play(peers):
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as day:
        day.write(DAY % (count, "[peers]\ninterval_ms = 1000" if peers else "", max(1, count // 10)))
        day.flush()
        rig = subprocess.Popen(["java", "-jar", "target/gullspar.jar", "rehearse", "--live", day.name, "--json"],
                               stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
        began = time.monotonic()
        while len(children(rig.pid)) < count and time.monotonic() - began < 60:
            time.sleep(0.5)
        time.sleep(30)  # all proxies run, and the load of their start has ended
        kids = children(rig.pid)
        before, at = {k: busy(k) for k in kids}, time.monotonic()
        time.sleep(20)
        seconds = time.monotonic() - at
        cpu = [100 * (busy(k) - before[k]) / seconds for k in kids]
        memory = [int(read("/proc/%d/statm" % k).split()[1]) * PAGE / 2**20 for k in kids]
        rig.communicate()
        return cpu, memory


took = {False: [], True: []}
with tempfile.TemporaryDirectory() as folder:
    for i in range(starts):
        for peers in ((False, True) if i % 2 == 0 else (True, False)):
            took[peers].append(start(peers, folder))
print("start, s, least, median and most of %d: without %.3f, %.3f, %.3f; with %.3f, %.3f, %.3f; median of pairs %.3f" % (
    starts, min(took[False]), statistics.median(took[False]), max(took[False]), min(took[True]),
    statistics.median(took[True]), max(took[True]),
    statistics.median(b / a for a, b in zip(took[False], took[True]))), flush=True)
rows = {False: ([], []), True: ([], [])}
for i in range(pairs):
    for peers in ((False, True) if i % 2 == 0 else (True, False)):
        cpu, memory = play(peers)
        rows[peers][0].extend(cpu)
        rows[peers][1].extend(memory)
print("| %d proxies, %d plays each | share of a core: median, most | resident, MB: median, most |" % (count, pairs))
print("| --- | --- | --- |")
for peers, (cpu, memory) in rows.items():
    print("| %s | %.2f %%, %.2f %% | %.1f, %.1f |" % ("with the view" if peers else "without", statistics.median(cpu),
          max(cpu), statistics.median(memory), max(memory)))
EOF
