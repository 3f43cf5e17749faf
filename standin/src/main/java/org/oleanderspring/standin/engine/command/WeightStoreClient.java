package org.oleanderspring.standin.engine.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.UncheckedIOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.Consumer;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.http.WholeResponses;

/** HTTP client of the weight store: reads the catalogue, requests and releases download permits. */
public final class WeightStoreClient implements AutoCloseable {
    private static final Logger LOGGER = System.getLogger(WeightStoreClient.class.getName());
    private static final String JSON_TYPE = "application/json";

    private final String mBaseUrl;
    private final HttpClient mClient = new HttpClient();

    /**
     * Creates and starts a client.
     *
     * @param address the address of the weight store, {@code ip:port}
     */
    public WeightStoreClient(String address) {
        mBaseUrl = "http://" + address;
        try {
            mClient.start();
        } catch (Exception fault) {
            throw new IllegalStateException(
                    "cannot start the HTTP client of the weight store at " + mBaseUrl, fault);
        }
    }

    /**
     * Reads the checkpoint catalogue; blocks until the response has arrived.
     *
     * @return the catalogue, an object with the array {@code checkpoints}
     * @throws IllegalStateException if the weight store cannot be reached or its response is not
     *     JSON
     */
    public JsonNode catalogue() {
        try {
            ContentResponse response = mClient.GET(mBaseUrl + "/v1/checkpoints");
            return Json.parse(response.getContent());
        } catch (Exception failure) {
            throw new IllegalStateException(
                    "cannot read the checkpoint catalogue from " + mBaseUrl, failure);
        }
    }

    /**
     * Requests a download permit asynchronously.
     *
     * @param name the checkpoint name
     * @param adapter whether the checkpoint is an adapter
     * @param receiver receives the reply on a thread of the client; a failed request counts as
     *     refused
     */
    void requestPermit(String name, boolean adapter, Consumer<DownloadPermit> receiver) {
        String body = Json.write(Json.object().put("name", name).put("adapter", adapter));
        mClient.newRequest(mBaseUrl + "/v1/downloads")
                .method(HttpMethod.POST)
                .body(new StringRequestContent(JSON_TYPE, body))
                .send(
                        new org.eclipse.jetty.client.BufferingResponseListener() {
                            @Override
                            public void onComplete(Result result) {
                                receiver.accept(readPermit(result, getContent()));
                            }
                        });
    }

    private static DownloadPermit readPermit(Result result, byte[] content) {
        if (!WholeResponses.isWhole(result) || result.getResponse().getStatus() != 200) {
            return DownloadPermit.REFUSED;
        }
        try {
            JsonNode reply = Json.parse(content);
            return new DownloadPermit(
                    reply.path("permit").asLong(), reply.path("slowdownPerMille").asLong());
        } catch (UncheckedIOException malformed) {
            LOGGER.log(Level.WARNING, "[engine] Refused a permit that is not JSON.", malformed);
            return DownloadPermit.REFUSED;
        }
    }

    /**
     * Releases a permit asynchronously. Failures are ignored; a permit that is not released counts
     * as a running download in the weight store.
     *
     * @param permit the permit
     */
    void release(DownloadPermit permit) {
        mClient.newRequest(mBaseUrl + "/v1/downloads/" + permit.number())
                .method(HttpMethod.DELETE)
                .send(result -> {});
    }

    @Override
    public void close() {
        try {
            mClient.stop();
        } catch (Exception fault) {
            throw new IllegalStateException(
                    "cannot stop the HTTP client of the weight store at " + mBaseUrl, fault);
        }
    }
}
