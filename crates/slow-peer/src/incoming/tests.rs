//! Tests of which incoming transfers are aborted, and when.

use super::*;

const MS: u64 = 1_000_000;

/// Simulates arrivals of (ms, bytes) until a deadline in ms. Returns when the transfer was aborted, and its status then.
fn simulate(
    total: Option<u64>,
    deadline: u64,
    arrivals: &[(u64, u64)],
) -> Option<(u64, IncomingStatus)> {
    let mut incoming = IncomingTransfer::new(&Settings::default(), 0, deadline * MS, total);
    let mut next = arrivals.iter().peekable();
    for ms in 0..deadline {
        while let Some((_, bytes)) = next.next_if(|(at, _)| *at == ms) {
            incoming.bytes_received(ms * MS, *bytes);
        }
        if total.is_some_and(|total| incoming.bytes_so_far() >= total)
            || total.is_none() && next.peek().is_none()
        {
            return None;
        }
        match incoming.evaluate(ms * MS) {
            IncomingStatus::CheckAgainAt(next) => assert!(next > ms * MS),
            status => return Some((ms, status)),
        }
    }
    None
}

/// 200 arrivals of `bytes`, one every `interval` ms.
fn regular_arrivals(interval: u64, bytes: u64) -> Vec<(u64, u64)> {
    (0..200).map(|index| (index * interval, bytes)).collect()
}

#[test]
fn trickling_transfer_is_aborted_within_a_few_arrivals() {
    let (ms, status) = simulate(Some(60_000), 1_500, &regular_arrivals(50, 1)).unwrap();
    assert!(
        status == IncomingStatus::TooSlow && ms <= 200,
        "{ms} {status:?}"
    );
    // Also a very slow one, whose pauses are just below the maximum.
    let (ms, status) = simulate(Some(60_000), 3_000, &regular_arrivals(390, 1)).unwrap();
    assert!(
        status == IncomingStatus::TooSlow && ms <= 1_600,
        "{ms} {status:?}"
    );
    // Also one of which two thirds arrive at once.
    let mut slow_end = regular_arrivals(50, 1);
    slow_end[0].1 = 40_000;
    assert_eq!(
        simulate(Some(60_000), 1_500, &slow_end).map(|(_, status)| status),
        Some(IncomingStatus::TooSlow)
    );
}

#[test]
fn transfer_that_stalls_at_its_first_or_last_byte_is_aborted_after_the_maximum_pause() {
    assert_eq!(
        simulate(Some(60_000), 1_500, &[]),
        Some((400, IncomingStatus::Stalled))
    );
    assert_eq!(
        simulate(Some(60_000), 1_500, &[(20, 59_999)]),
        Some((420, IncomingStatus::Stalled))
    );
    assert_eq!(
        simulate(None, 1_500, &[(20, 59_999), (1_499, 1)]),
        Some((420, IncomingStatus::Stalled))
    );
}

#[test]
fn stall_of_the_process_does_not_count_against_a_transfer() {
    let mut incoming = IncomingTransfer::new(&Settings::default(), 0, 5_000 * MS, Some(60_000));
    incoming.bytes_received(10 * MS, 100);
    assert_eq!(
        incoming.evaluate(10 * MS),
        IncomingStatus::CheckAgainAt(410 * MS)
    );
    // The process does not run for almost two seconds. Bytes that arrived in that time have yet to be read.
    assert_eq!(
        incoming.evaluate(2_000 * MS),
        IncomingStatus::CheckAgainAt(2_050 * MS)
    );
    let mut with_bytes = incoming.clone();
    with_bytes.bytes_received(2_020 * MS, 30_000);
    assert!(matches!(
        with_bytes.evaluate(2_050 * MS),
        IncomingStatus::CheckAgainAt(_)
    ));
    // No bytes were read, so the transfer did stall.
    assert_eq!(incoming.evaluate(2_050 * MS), IncomingStatus::Stalled);
}

#[test]
fn bursty_transfers_and_those_of_unknown_length_are_not_aborted() {
    // A few bytes, a pause, and then the rest.
    assert_eq!(
        simulate(Some(60_000), 1_500, &[(0, 100), (390, 59_900)]),
        None
    );
    // Several bursts with pauses between them.
    let bursts = [
        (0, 9_000),
        (350, 9_000),
        (700, 9_000),
        (1_050, 9_000),
        (1_300, 24_000),
    ];
    assert_eq!(simulate(Some(60_000), 3_000, &bursts), None);
    // A burst that takes several reads counts as one arrival.
    let pieces: Vec<_> = (0..20)
        .map(|index| (index / 4, 50))
        .chain([(380, 59_000)])
        .collect();
    assert_eq!(simulate(Some(60_000), 1_500, &pieces), None);
    // Slow, but of unknown length.
    assert_eq!(simulate(None, 1_500, &regular_arrivals(50, 1)[..20]), None);
    // Slow, but complete before the deadline.
    assert_eq!(
        simulate(Some(60_000), 1_500, &regular_arrivals(10, 500)),
        None
    );
}
