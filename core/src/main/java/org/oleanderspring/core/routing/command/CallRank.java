package org.oleanderspring.core.routing.command;

/**
 * The place of a waiting call among those for the same target. The call with the highest urgency,
 * and among these with the lowest share, is served first; otherwise deadlines decide.
 *
 * @param urgency the priority of the call
 * @param share how far its organisation has used up its share, in quanta
 * @param cost what the call adds to that, in tokens
 */
record CallRank(int urgency, long share, double cost) {
    /** The rank of all calls while no caller names an organisation. */
    static final CallRank NONE = new CallRank(0, 0, 0);
}
