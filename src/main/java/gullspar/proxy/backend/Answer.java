package gullspar.proxy.backend;

import io.netty.handler.codec.http.HttpResponse;

/** A whole answer of a backend. */
public record Answer(HttpResponse head, byte[] body) { }
