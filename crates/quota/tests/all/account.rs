//! Decisions of one entry about requests of its callers.

use std::net::IpAddr;
use std::time::Duration;

use carobdrift_quota::{Accounts, Decision, Demand, Grant, Grants, Key, Request};
use tokio::time::Instant;

const GRANTOR: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);

fn key() -> Key {
    Key::Workspace("blue".into())
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the only request that the accounts send.
fn request(accounts: &mut Accounts, in_advance: bool, now: Instant) -> Option<Request> {
    let mut requests = accounts.requests(in_advance, |_| Some(GRANTOR), now);
    assert!(requests.len() <= 1);
    requests.pop().map(|(_, request)| request)
}

/// Grants tokens to the requests that wait.
fn grant(accounts: &mut Accounts, tokens: u32, due_ms: u32, now: Instant) {
    let sequence = request(accounts, false, now).unwrap().sequence;
    let grants = vec![Some(Grant { tokens, due_ms })];
    assert!(accounts.apply(GRANTOR, &Grants { sequence, grants }, now));
}

/// Returns accounts to which tokens were granted.
fn accounts_with(tokens: u32, now: Instant) -> Accounts {
    let mut accounts = Accounts::open(0);
    assert_eq!(accounts.admit(&key(), now), Decision::Wait);
    grant(&mut accounts, tokens, 0, now);
    accounts
}

/// Guards against a token that is spent after the grantor may have granted another one
/// in its place.
#[test]
fn a_token_is_not_spent_after_its_validity() {
    let now = Instant::now();
    let mut accounts = accounts_with(2, now);

    let in_time = accounts.take(&key(), now + ms(499));
    let late = accounts.take(&key(), now + ms(500));

    assert!(in_time.is_some());
    assert_eq!(late, None);
}

/// Guards against tokens that a request without a target takes with it.
#[test]
fn a_token_that_was_put_back_is_spent_by_the_next_request() {
    let now = Instant::now();
    let mut accounts = accounts_with(1, now);
    let token = accounts.take(&key(), now).unwrap();
    assert_eq!(accounts.take(&key(), now), None);

    accounts.put_back(&token, now + ms(100));

    assert_eq!(accounts.take(&key(), now + ms(499)), Some(token));
}

/// Guards against a valid token that comes of one that was put back too late.
#[test]
fn an_expired_token_is_not_put_back() {
    let now = Instant::now();
    let mut accounts = accounts_with(1, now);
    let token = accounts.take(&key(), now).unwrap();

    accounts.put_back(&token, now + ms(500));

    assert_eq!(accounts.take(&key(), now + ms(500)), None);
}

/// Guards against callers that are held although the grantor refused, and against a
/// message for each of them.
#[test]
fn a_refusal_answers_further_requests_until_the_next_token_is_due() {
    let now = Instant::now();
    let mut accounts = Accounts::open(0);
    assert_eq!(accounts.admit(&key(), now), Decision::Wait);
    grant(&mut accounts, 0, 200, now);

    let waiting = accounts.decide_waiting(&key(), false, now);
    accounts.end_wait(&key());
    let next = accounts.admit(&key(), now + ms(50));
    let message = request(&mut accounts, false, now + ms(50));
    let due = accounts.admit(&key(), now + ms(200));

    assert_eq!(waiting, Decision::Refused(ms(200)));
    assert_eq!(next, Decision::Refused(ms(150)));
    assert_eq!(message, None);
    assert_eq!(due, Decision::Wait);
}

/// Guards against a lost datagram that makes a caller wait to the end.
#[test]
fn tokens_are_requested_again_when_the_response_is_late() {
    let now = Instant::now();
    let mut accounts = Accounts::open(0);
    assert_eq!(accounts.admit(&key(), now), Decision::Wait);
    let first = request(&mut accounts, false, now).unwrap();
    let at = |accounts: &mut Accounts, time| {
        assert_eq!(accounts.decide_waiting(&key(), false, time), Decision::Wait);
        request(accounts, false, time)
    };

    let early = at(&mut accounts, now + ms(10));
    let second = at(&mut accounts, now + ms(30));

    let wanted = Demand {
        wanted: 1,
        returned: 0,
    };
    assert_eq!(first.demands, [(key(), wanted)]);
    assert_eq!(early, None);
    assert_eq!(second.unwrap().demands, [(key(), wanted)]);
}

/// Guards against a process that is suspended and spends tokens afterwards whose
/// validity the stopped clock does not show.
#[test]
fn no_token_outlasts_a_suspension() {
    let now = Instant::now();
    let mut accounts = accounts_with(3, now);

    accounts.discard_tokens(now);

    assert_eq!(accounts.take(&key(), now), None);
}

/// Guards against requests that do not fit into one packet.
#[test]
fn a_request_for_many_keys_is_divided() {
    let now = Instant::now();
    let mut accounts = Accounts::open(u32::MAX / 2);
    for number in 0..300 {
        let name = format!("workspace-of-a-customer-with-a-long-name-{number:04}");
        let decision = accounts.admit(&Key::Workspace(name.into()), now);
        assert_eq!(decision, Decision::Wait);
    }

    let requests = accounts.requests(false, |_| Some(GRANTOR), now);

    let sizes = requests.iter().map(|(_, request)| {
        let bytes = postcard::to_allocvec(request).unwrap();
        bytes.len()
    });
    assert!(sizes.max().unwrap() < 1390);
    let demands = requests.iter().map(|(_, request)| request.demands.len());
    assert_eq!(demands.sum::<usize>(), 300);
}

/// Guards against traffic that grows with the number of idle workspaces.
#[test]
fn idle_keys_cause_no_messages() {
    let now = Instant::now();
    let mut accounts = Accounts::open(0);
    for number in 0..1000 {
        let key = Key::Workspace(format!("idle-{number}").into());
        let _ = accounts.admit(&key, now);
        let _ = accounts.decide_waiting(&key, true, now);
        accounts.end_wait(&key);
    }
    accounts.requests(false, |_| Some(GRANTOR), now);

    let later = now + Duration::from_secs(5);
    let requests = accounts.requests(true, |_| Some(GRANTOR), later);
    accounts.requests(true, |_| Some(GRANTOR), now + Duration::from_secs(31));

    assert!(requests.is_empty(), "{requests:?}");
    assert!(accounts.is_empty());
}
