package gullspar.proxy.backend;

import gullspar.proxy.http.BodyStream;
import io.netty.handler.codec.http.HttpResponse;

/** A response of a backend: complete, or its start with the rest still being received; rest is null if complete. */
public record BackendResponse(HttpResponse head, byte[] body, BodyStream rest) {}
