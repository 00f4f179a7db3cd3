package gullspar.proxy.backend;

import gullspar.proxy.http.BodyStream;
import io.netty.handler.codec.http.HttpResponse;

/** An answer of a backend: whole, or its beginning, and the rest is still to come; null if there is none. */
public record Answer(HttpResponse head, byte[] body, BodyStream rest) {}
