package gullspar.proxy.client;

import gullspar.proxy.config.Classes;
import gullspar.proxy.config.Config;
import gullspar.proxy.http.Message;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/** What a request is found to ask, for those who measure what that costs. */
public final class TenantLookup {
    private final Config config;
    private final Classes.RequestClass of;

    public TenantLookup(Config config) {
        this.config = config;
        this.of = new Classes(config).find(config.classes().get(0));
    }

    /** The place of a tenant, found as for any request. */
    public int place(String tenant) {
        HttpHeaders h = new DefaultHttpHeaders();
        h.add("Tenant", tenant);
        h.add("Request-Timeout", "0.480");
        return RequestParameters.of(new Message(HttpMethod.GET, "/look/1", h, null, null, 0), of, config)
                .tenant();
    }
}
