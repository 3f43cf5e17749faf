package org.oleanderspring.standin.hosted;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.oleanderspring.standin.http.Json;

/**
 * An item of the key-value service.
 *
 * @param key the key
 * @param value the value in base64
 * @param modRevision the revision of the service at the item's last change
 * @param createRevision the revision of the service at the item's creation
 * @param lease the ID of the lease that it is attached to; 0 for none
 */
record HostedItem(String key, String value, long modRevision, long createRevision, long lease) {
    ObjectNode toJson() {
        return Json.object()
                .put("key", key)
                .put("value", value)
                .put("revision", modRevision)
                .put("created", createRevision)
                .put("lease", lease);
    }
}
