import java.util.List;

/** A proxy is killed, its agent learns that a backend drains, discovery goes down, and the proxy comes back. */
final class Case9 {
    private static final double GRACE_S = 0.55;
    private static final double OUTAGE_S = 8;

    private Case9() {}

    public static void main(String[] args) {
        Stand.run(args[0], Case9::test);
    }

    private static Stand.Result test(Stand stand) throws Exception {
        Stand.Backend stays = stand.new Backend("s1");
        Stand.Backend drains = stand.new Backend("s2");
        List<String> before = List.of(stays.entry("chuy", "in_service"), drains.entry("chuy", "in_service"));
        List<String> after = List.of(stays.entry("chuy", "in_service"), drains.entry("chuy", "terminating"));
        Stand.Discovery agent = stand.new Discovery(before);
        // Its list is the one that it had before: the platform starts the proxy with what it last had.
        String config = Stand.frontera(agent.port)
                .replace("\"known\":" + Stand.list(0, true, List.of()), "\"known\":" + Stand.list(1, true, before));
        Stand.Proxy proxy = stand.new Proxy(config, agent.port);
        for (int i = 0; i < 10; i++) {
            stand.ask(proxy.port, "before-" + i, Stand.get("before-" + i, 0.6), 1500);
        }
        stand.log("the proxy is killed");
        proxy.process.destroyForcibly().waitFor();
        Stand.sleep(200);
        agent.change(drains.entry("chuy", "terminating"), after);
        stand.log("the agent has the change: s2 drains");
        Stand.sleep(300);
        agent.isSilent = stand.trouble;
        double outageAt = stand.now();
        stand.log(stand.trouble ? "discovery is down, the agent is silent" : "discovery stays up");
        Stand.sleep(200);
        double startedAt = stand.now();
        stand.log("the proxy is started again");
        proxy = stand.new Proxy(config, agent.port);
        int i = 0;
        while (stand.now() < outageAt + OUTAGE_S + 2) {
            if (agent.isSilent && stand.now() >= outageAt + OUTAGE_S) {
                stand.log("discovery is back");
                agent.isSilent = false;
            }
            i++;
            stand.ask(proxy.port, "after-" + i, Stand.get("after-" + i, 0.6), 1500);
            Stand.sleep(100);
        }
        long late = stand.runs.stream()
                .filter(r -> r.backend().equals("s2") && r.at() > startedAt + GRACE_S)
                .count();
        stand.log("requests sent to s2 later than " + GRACE_S + " s after the start of the new process: " + late);
        return late == 0 ? Stand.Result.HELD : Stand.Result.BROKEN;
    }
}
