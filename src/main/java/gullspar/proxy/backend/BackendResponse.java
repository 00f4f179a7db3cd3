package gullspar.proxy.backend;

import gullspar.proxy.http.BodyStream;
import io.netty.handler.codec.http.HttpResponse;

/**
 * A response of a backend, complete or with the rest of its body still being received.
 *
 * @param head the status line and headers
 * @param body the body, or the part of it received so far
 * @param rest the rest of the body; null if the response is complete
 */
public record BackendResponse(HttpResponse head, byte[] body, BodyStream rest) {}
