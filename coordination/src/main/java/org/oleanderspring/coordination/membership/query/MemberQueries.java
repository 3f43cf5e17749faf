package org.oleanderspring.coordination.membership.query;

import java.util.List;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MemberList;

/** Read access to the member list; must be called on the thread that owns the decider. */
public interface MemberQueries {
    /** Returns the current description of this member. */
    Member self();

    /** Returns a snapshot of the current member list. */
    MemberList members();

    /** Returns all known members, including failed and left ones that were not removed yet. */
    List<Member> knownMembers();
}
