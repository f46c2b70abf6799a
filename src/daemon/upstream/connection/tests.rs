use rustix::io::Errno;

use super::*;

/// Guards against ejecting an endpoint because this node is short of resources.
#[test]
fn shortage_of_this_node_is_no_evidence_about_an_endpoint() {
    let local = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::AGAIN,
        Errno::INTR,
    ];
    for code in local {
        let outcome = connect_failure(&code.into());
        assert_eq!(outcome, Outcome::NotSentRetryable, "{code}");
    }
    let of_the_endpoint = [
        Errno::CONNREFUSED,
        Errno::CONNRESET,
        Errno::HOSTUNREACH,
        Errno::NETUNREACH,
        Errno::TIMEDOUT,
    ];
    for code in of_the_endpoint {
        let outcome = connect_failure(&code.into());
        assert_eq!(outcome, Outcome::ConnectFailed, "{code}");
    }
}
