package org.oleanderspring.daemon.gateway.front.query;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves {@code /readyz}: status 200 if the daemon is ready for requests, 503 otherwise. */
public final class ReadinessHandler extends Handler.Abstract.NonBlocking {
    private static final String PATH = "/readyz";
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final Supplier<CompletableFuture<Boolean>> mReadiness;

    /**
     * Creates the handler.
     *
     * @param readiness queries the routing duty
     */
    public ReadinessHandler(Supplier<CompletableFuture<Boolean>> readiness) {
        mReadiness = readiness;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals(PATH)) {
            return false;
        }
        mReadiness
                .get()
                .thenAccept(
                        ready -> {
                            response.setStatus(ready ? OK : UNAVAILABLE);
                            callback.succeeded();
                        });
        return true;
    }
}
