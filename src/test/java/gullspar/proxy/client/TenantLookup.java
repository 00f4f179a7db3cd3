package gullspar.proxy.client;

import gullspar.proxy.config.Classes;
import gullspar.proxy.config.Config;
import gullspar.proxy.http.Message;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/** Gives benchmarks access to the lookup of a request's tenant. */
public final class TenantLookup {
    private final Config config;
    private final Classes.RequestClass requestClass;

    public TenantLookup(Config config) {
        this.config = config;
        this.requestClass = new Classes(config).find(config.classes().get(0));
    }

    /** The index of a tenant, looked up as for any request. */
    public int indexOf(String tenant) {
        HttpHeaders h = new DefaultHttpHeaders();
        h.add("Tenant", tenant);
        h.add("Request-Timeout", "0.480");
        return RequestParameters.of(new Message(HttpMethod.GET, "/look/1", h, null, null, 0), requestClass, config)
                .tenant();
    }
}
