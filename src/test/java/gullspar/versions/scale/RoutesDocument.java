package gullspar.versions.scale;

/** Generates a document of many routes for measurements. */
public final class RoutesDocument {
    private static final int ROUTES_PER_POOL = 8;

    private RoutesDocument() {}

    /**
     * Returns a document of {@code routes} routes, eight to a pool and a host; each change sets another deadline
     * on one.
     */
    public static String generate(int routes, int change) {
        StringBuilder s = new StringBuilder("[[listener]]\naddress = \"127.0.0.1:0\"\n\n");
        int pools = Math.max(1, routes / ROUTES_PER_POOL);
        for (int p = 0; p < pools; p++) {
            s.append("[[pool]]\nname = \"service-").append(p).append("\"\n");
            for (int i = 0; i < 2; i++) {
                s.append("[[pool.server]]\naddress = \"10.")
                        .append(p / 250)
                        .append('.')
                        .append(p % 250)
                        .append('.')
                        .append(10 + i)
                        .append(":8080\"\n");
            }
        }
        for (int p = 0; p < pools; p++) {
            s.append("\n[[host]]\nnames = [\"service-").append(p).append(".example.org\"]\n");
            for (int r = 0; r < ROUTES_PER_POOL && p * ROUTES_PER_POOL + r < routes; r++) {
                int n = p * ROUTES_PER_POOL + r;
                s.append("[[host.route]]\nname = \"s")
                        .append(p)
                        .append("-r")
                        .append(r)
                        .append("\"\npath = \"/api/v")
                        .append(r)
                        .append("/items/\"\npool = \"service-")
                        .append(p)
                        .append("\"\nclass = \"keyed\"\ndeadline_ms = ")
                        .append(change > 0 && n == change * 7 % routes ? 1000 + change : 800)
                        .append("\nrequest_headers = { set = { \"X-Client\" = \"${client}\" } }\n");
            }
        }
        return s.toString();
    }
}
