package org.oleanderspring.daemon.process;

import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.lease.LeaseName;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.core.fleet.CellName;

/** The layout of the keys in the key-value service, and the names of the documents stored there. */
public final class StoreKeys {
    /** The name of the document with the operators' settings. */
    public static final DocumentName SETTINGS = new DocumentName("settings");

    private static final String ROOT = "/oleanderspring/";
    private static final String PLAN_PREFIX = "plan/";

    private StoreKeys() {}

    /** Returns the prefix of the keys of all dispatch records, without a slash at its end. */
    public static StoreKey dispatchPrefix() {
        return new StoreKey(ROOT + "dispatch");
    }

    /**
     * Returns the key of a cell's lease.
     *
     * @param lease the name of the lease, which equals that of the cell
     */
    public static StoreKey lease(LeaseName lease) {
        return new StoreKey(ROOT + "cells/" + lease.value() + "/lease");
    }

    /**
     * Returns the document name of a cell's plan.
     *
     * @param cell the cell
     */
    public static DocumentName plan(CellName cell) {
        return new DocumentName(PLAN_PREFIX + cell.value());
    }

    /**
     * Returns whether a document is a plan; the only other document is the settings.
     *
     * @param name the name of the document
     */
    public static boolean isPlan(DocumentName name) {
        return name.value().startsWith(PLAN_PREFIX);
    }

    /**
     * Returns the key of a document.
     *
     * @param name the name of the document
     */
    public static StoreKey document(DocumentName name) {
        if (isPlan(name)) {
            String cell = name.value().substring(PLAN_PREFIX.length());
            return new StoreKey(ROOT + "cells/" + cell + "/plan");
        }
        return new StoreKey(ROOT + name.value());
    }
}
