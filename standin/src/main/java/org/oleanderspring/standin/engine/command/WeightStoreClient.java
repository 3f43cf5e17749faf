package org.oleanderspring.standin.engine.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.oleanderspring.standin.http.Json;

/** Asks the weight store for permits and for its catalogue. */
public final class WeightStoreClient implements AutoCloseable {
    private static final String JSON_TYPE = "application/json";

    private final String mBase;
    private final HttpClient mClient = new HttpClient();

    /**
     * Creates and starts a client.
     *
     * @param address the IP number and port of the weight store
     */
    public WeightStoreClient(String address) {
        mBase = "http://" + address;
        try {
            mClient.start();
        } catch (Exception fault) {
            throw new IllegalStateException("cannot start the client", fault);
        }
    }

    /**
     * Reads the catalogue.
     *
     * @return the document
     */
    public JsonNode catalogue() {
        try {
            ContentResponse response = mClient.GET(mBase + "/v1/checkpoints");
            return Json.parse(response.getContent());
        } catch (Exception failure) {
            throw new IllegalStateException("cannot read the catalogue", failure);
        }
    }

    /**
     * Asks for a permit.
     *
     * @param name the checkpoint
     * @param adapter whether it is an adapter
     * @param receiver gets the answer on a thread of the client
     */
    void requestPermit(String name, boolean adapter, Consumer<DownloadPermit> receiver) {
        String body = Json.write(Json.object().put("name", name).put("adapter", adapter));
        mClient.newRequest(mBase + "/v1/downloads")
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
        if (result.isFailed() || result.getResponse().getStatus() != 200) {
            return DownloadPermit.REFUSED;
        }
        JsonNode answer = Json.parse(content);
        return new DownloadPermit(
                answer.path("permit").asLong(), answer.path("slowdownPerMille").asLong());
    }

    /**
     * Gives a permit back.
     *
     * @param permit the permit
     */
    void release(DownloadPermit permit) {
        mClient.newRequest(mBase + "/v1/downloads/" + permit.number())
                .method(HttpMethod.DELETE)
                .send(result -> {});
    }

    @Override
    public void close() {
        try {
            mClient.stop();
        } catch (Exception fault) {
            throw new IllegalStateException("cannot stop the client", fault);
        }
    }
}
