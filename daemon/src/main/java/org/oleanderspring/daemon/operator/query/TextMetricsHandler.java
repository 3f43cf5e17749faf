package org.oleanderspring.daemon.operator.query;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Serves {@code /metrics} as text: one line with a name and a value for each gauge, count and
 * quantile. A dot in a name becomes an underscore; times are in milliseconds.
 */
public final class TextMetricsHandler extends Handler.Abstract.NonBlocking {
    private static final String PATH = "/metrics";
    private static final double MEDIAN = 0.5;
    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final MetricRegistry mRegistry;

    /**
     * Creates the handler.
     *
     * @param registry the registry with the metrics
     */
    public TextMetricsHandler(MetricRegistry registry) {
        mRegistry = registry;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals(PATH)) {
            return false;
        }
        StringBuilder text = new StringBuilder();
        Map<String, Metric> metrics = new TreeMap<>(mRegistry.getMetrics());
        metrics.forEach((name, metric) -> append(text, name.replace('.', '_'), metric));
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; charset=utf-8");
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        response.write(true, ByteBuffer.wrap(bytes), callback);
        return true;
    }

    private static void append(StringBuilder text, String name, Metric metric) {
        if (metric instanceof Gauge<?> gauge) {
            append(text, name, String.valueOf(gauge.getValue()));
        }
        if (metric instanceof Counting counting) {
            append(text, name + "_count", Long.toString(counting.getCount()));
        }
        if (metric instanceof Sampling sampling) {
            Snapshot snapshot = sampling.getSnapshot();
            append(text, name + "_p50_ms", millis(snapshot.getValue(MEDIAN)));
            append(text, name + "_p95_ms", millis(snapshot.get95thPercentile()));
            append(text, name + "_p99_ms", millis(snapshot.get99thPercentile()));
            append(text, name + "_max_ms", millis(snapshot.getMax()));
        }
    }

    private static void append(StringBuilder text, String name, String value) {
        text.append(name).append(' ').append(value).append('\n');
    }

    private static String millis(double nanos) {
        return Double.toString(nanos / NANOS_PER_MILLI);
    }
}
