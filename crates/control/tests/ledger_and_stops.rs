//! Tests of the claim ledger and the stop book.

use assert_matches::assert_matches;
use briartray_control::state::{
    ClaimLedger, CommandOutcome, HostPlace, MAX_ANSWER_BYTES, StopBook, StopPlan, StopTarget,
};
use briartray_model::message::{
    ClaimKey, KeptAnswer, KeptBody, LedgerReply, LedgerRequest, MAX_KEPT_ANSWER_BYTES,
};
use briartray_model::names::{AttemptId, ChangeId, HostName, ProviderName, ZoneName};

const DIGEST: [u8; 32] = [1; 32];

fn key(name: &str) -> ClaimKey {
    ClaimKey { team: "traders".into(), key: name.to_owned() }
}

fn claim(name: &str, attempt: u128) -> LedgerRequest {
    LedgerRequest::Claim { key: key(name), digest: DIGEST, attempt: AttemptId(attempt) }
}

fn complete(name: &str, attempt: u128, bytes: usize) -> LedgerRequest {
    let answer = KeptAnswer {
        status: 200,
        content_type: String::new(),
        body: KeptBody::Whole(vec![7; bytes]),
    };
    LedgerRequest::Complete { key: key(name), attempt: AttemptId(attempt), answer: Some(answer) }
}

fn release(name: &str, attempt: u128) -> LedgerRequest {
    LedgerRequest::Release { key: key(name), attempt: AttemptId(attempt) }
}

#[test]
fn key_of_dead_entry_stays_claimed() {
    // An entry claims a key and dies before or after dispatch, so it is unknown whether the call
    // ran. If the key were released, the call could run twice.
    let mut ledger = ClaimLedger::default();
    ledger.apply(&claim("lot-7", 1));

    let second = ledger.apply(&claim("lot-7", 2));

    assert_eq!(second, LedgerReply::Pending { attempt: AttemptId(1) });
}

#[test]
fn claim_whose_reply_was_lost_is_claimed_again() {
    let mut ledger = ClaimLedger::default();
    ledger.apply(&claim("lot-7", 1));

    assert_eq!(ledger.apply(&claim("lot-7", 1)), LedgerReply::Claimed);
}

#[test]
fn late_release_of_another_attempt_changes_nothing() {
    // A delayed release arrives after another attempt has claimed the key. If it took effect, a
    // third attempt could run the call a second time.
    let mut ledger = ClaimLedger::default();
    ledger.apply(&claim("lot-7", 1));
    ledger.apply(&release("lot-7", 1));
    ledger.apply(&claim("lot-7", 2));

    ledger.apply(&release("lot-7", 1));

    let third = ledger.apply(&claim("lot-7", 3));
    assert_eq!(third, LedgerReply::Pending { attempt: AttemptId(2) });
}

#[test]
fn release_after_answer_changes_nothing() {
    let mut ledger = ClaimLedger::default();
    ledger.apply(&claim("lot-7", 1));
    ledger.apply(&complete("lot-7", 1, 3));

    ledger.apply(&release("lot-7", 1));

    assert_matches!(ledger.apply(&claim("lot-7", 2)), LedgerReply::Answered(_));
}

#[test]
fn answers_are_evicted_while_claims_remain() {
    // When answers exceed the memory limit, the oldest are evicted. A resend must still learn that
    // the call ran, and its key must never become free again.
    let mut ledger = ClaimLedger::default();
    let count = MAX_ANSWER_BYTES / MAX_KEPT_ANSWER_BYTES + 1;
    for number in 0..count {
        let name = format!("lot-{number}");
        ledger.apply(&claim(&name, 1));
        ledger.apply(&complete(&name, 1, MAX_KEPT_ANSWER_BYTES));
    }

    assert!(ledger.kept_bytes() <= MAX_ANSWER_BYTES);
    assert_eq!(ledger.apply(&claim("lot-0", 2)), LedgerReply::AnswerNotKept);
    assert_matches!(ledger.apply(&claim("lot-1", 2)), LedgerReply::Answered(_));
}

#[test]
fn forget_keeps_claims_with_unknown_outcome() {
    // An operator removes old claims. A key with an unknown outcome may belong to a call that ran,
    // so it must remain claimed.
    let mut ledger = ClaimLedger::default();
    ledger.apply(&claim("unknown", 1));
    ledger.apply(&claim("old", 2));
    ledger.apply(&complete("old", 2, 3));
    ledger.apply(&claim("new", 3));
    ledger.apply(&complete("new", 3, 3));

    let forgotten = ledger.forget(1);

    assert_eq!((forgotten, ledger.len(), ledger.kept_bytes()), (1, 2, 3));
    assert_matches!(ledger.apply(&claim("unknown", 4)), LedgerReply::Pending { .. });
    assert_matches!(ledger.apply(&claim("new", 4)), LedgerReply::Answered(_));
    assert_eq!(ledger.apply(&claim("old", 4)), LedgerReply::Claimed);
}

fn stop_of(zone: &str, change: u128) -> StopPlan {
    StopPlan { change: ChangeId(change), target: StopTarget::Zone(ZoneName::new(zone)) }
}

#[test]
fn second_of_two_racing_stops_is_checked_again() {
    // Two operators stop a zone each. Each stop alone leaves enough replicas, but both were checked
    // before either was committed; together they would stop the service.
    let mut book = StopBook::default();
    let checked = book.revision();
    book.plan(checked, &stop_of("a", 1));

    let second = book.plan(checked, &stop_of("b", 2));

    assert_matches!(second, CommandOutcome::StopRefused { .. });
}

#[test]
fn resent_stop_is_planned_once() {
    let mut book = StopBook::default();
    let first = book.plan(0, &stop_of("a", 1));

    let second = book.plan(0, &stop_of("a", 1));

    assert_eq!(first, second);
    assert_eq!(book.stops().count(), 1);
}

#[test]
fn cancelled_stop_covers_no_host() {
    let (host, zone) = (HostName::new("host-1"), ZoneName::new("a"));
    let provider = ProviderName::new("old");
    let place = HostPlace { host: &host, zone: &zone, provider: &provider };
    let mut book = StopBook::default();
    let CommandOutcome::StopPlanned { stop } = book.plan(0, &stop_of("a", 1)) else {
        panic!("the stop is planned")
    };
    let before = book.is_leaving(place);

    book.cancel(stop);

    assert_eq!((before, book.is_leaving(place)), (true, false));
}
