package org.oleanderspring.daemon.operator.query;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.oleanderspring.daemon.front.query.JsonResponse;

/** Serves {@code /metrics}: all metrics as JSON; times are in milliseconds. */
public final class MetricsHandler extends Handler.Abstract.NonBlocking {
    private static final String PATH = "/metrics";

    private final MetricRegistry mRegistry;
    private final ObjectMapper mMapper =
            new ObjectMapper()
                    .registerModule(
                            new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

    /**
     * Creates the handler.
     *
     * @param registry the registry with the metrics
     */
    public MetricsHandler(MetricRegistry registry) {
        mRegistry = registry;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals(PATH)) {
            return false;
        }
        JsonResponse.of(response, callback).send(mMapper.valueToTree(mRegistry));
        return true;
    }
}
