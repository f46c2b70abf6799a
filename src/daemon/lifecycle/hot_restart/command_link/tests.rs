use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::UnixStream;
use tokio::sync::watch;
use tokio::time::timeout;

use super::*;
use crate::admin::handle::tests::handle;

/// More lines than the kernel holds between two processes.
const MANY_LINES: usize = 50_000;
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Two processes that relay many commands to each other at one time would otherwise wait for each other for ever.
#[tokio::test]
async fn link_reads_on_while_the_other_process_does_not_read() {
    let (near, far) = UnixStream::pair().unwrap();
    let (reading, writing) = near.into_split();
    let other_process = watch::channel(None).0;
    let admin = handle(true, true);
    let link = CommandLink::new(admin, other_process, BufReader::new(reading), writing);
    let (mut far_reading, mut far_writing) = far.into_split();
    let exchange = async {
        let calls = "call 1 READY\n".repeat(MANY_LINES);
        far_writing.write_all(calls.as_bytes()).await.unwrap();
        let mut answers = vec![0; "answer 1 done serving\n".len() * MANY_LINES];
        far_reading.read_exact(&mut answers).await.unwrap();
    };
    let exchange = timeout(TEST_TIMEOUT, exchange);
    tokio::select! {
        () = link.run() => panic!("the link has ended"),
        completed = exchange => completed.expect("all commands are answered in time"),
    }
}

#[test]
fn lines_of_the_other_process_are_parsed_or_rejected() {
    let command = "DISABLE s-1";
    assert_eq!(
        Line::parse("call 7 DISABLE s-1"),
        Some(Line::Command { number: 7, command })
    );
    // The text of the answer is ignored, because this process answers the caller.
    for line in ["answer 7 done withheld", "answer 7 error no", "answer 7"] {
        assert_eq!(
            Line::parse(line),
            Some(Line::Answer { number: 7 }),
            "{line}"
        );
    }
    for line in [
        "",
        "call",
        "call 7",
        "call x DRAIN",
        "answer",
        "answer -1",
        "DRAIN 1 2",
    ] {
        assert_eq!(Line::parse(line), None, "{line:?}");
    }
}
