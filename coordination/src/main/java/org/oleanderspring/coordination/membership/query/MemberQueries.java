package org.oleanderspring.coordination.membership.query;

import java.util.List;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MemberList;

/** Reads the member list, on the thread that owns it. */
public interface MemberQueries {
    /** Returns this member as it describes itself now. */
    Member self();

    /** Returns the current list. */
    MemberList members();

    /** Returns all members that are remembered, including failed and left ones. */
    List<Member> knownMembers();
}
