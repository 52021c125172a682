//! Client accounts: lookup by key, identification of callers, and the cost of requests.

use ebonyloft_core::config::Rate;
use ebonyloft_core::ids::Digest;
use ebonyloft_router::accounts::{
    Account, Accounts, COST_MAX, Credential, Identity, Quota, Size, Unit, identify,
};
use proptest::prelude::*;

fn key(n: usize) -> Digest {
    Digest::of(format!("key-{n}").as_bytes())
}

fn account(name: &str, keys: &[usize]) -> Account {
    let keys = keys.iter().map(|n| key(*n)).collect();
    Account { name: name.into(), keys, ..Account::default() }
}

fn two_accounts() -> Accounts {
    vec![account("one", &[1, 2]), account("two", &[3])].into()
}

fn account_name<'a>(identity: Identity<'a>) -> Option<&'a str> {
    match identity {
        Identity::Account(account) => Some(account.name.as_str()),
        _ => None,
    }
}

#[test]
fn a_key_belongs_to_the_account_that_holds_it() {
    let accounts = two_accounts();
    assert_eq!(accounts.find_by_key(&key(2)).map(|a| a.name.as_str()), Some("one"));
    assert_eq!(accounts.find_by_key(&key(3)).map(|a| a.name.as_str()), Some("two"));
    assert!(accounts.find_by_key(&key(4)).is_none());
}

#[test]
fn digests_with_a_common_prefix_are_distinguished() {
    let digest_ending_in = |last: u8| {
        let mut bytes = [7; 32];
        bytes[31] = last;
        Digest(bytes)
    };
    let account_with_key =
        |name: &str, key| Account { name: name.into(), keys: vec![key], ..Account::default() };
    let accounts = Accounts::from(vec![
        account_with_key("a", digest_ending_in(1)),
        account_with_key("b", digest_ending_in(2)),
    ]);
    assert_eq!(accounts.find_by_key(&digest_ending_in(2)).map(|a| a.name.as_str()), Some("b"));
    assert!(accounts.find_by_key(&digest_ending_in(3)).is_none());
}

#[test]
fn callers_are_identified_by_their_credential() {
    let accounts = two_accounts();
    let ask = |accounts, public, credential| identify(accounts, public, &credential);
    let all = Some(&accounts);
    assert_eq!(ask(None, false, Credential::Absent), Identity::Anyone);
    assert_eq!(ask(all, false, Credential::Absent), Identity::Unidentified);
    assert_eq!(ask(all, false, Credential::Malformed), Identity::Unidentified);
    assert_eq!(ask(all, false, Credential::Key(key(4))), Identity::Unknown);
    assert_eq!(account_name(ask(all, false, Credential::Key(key(1)))), Some("one"));
    assert_eq!(ask(all, true, Credential::Absent), Identity::Anyone);
    assert_eq!(ask(all, true, Credential::Key(key(4))), Identity::Anyone);
    assert_eq!(account_name(ask(all, true, Credential::Key(key(3)))), Some("two"));
}

#[test]
fn decoded_accounts_are_found_by_key() {
    let mut bytes = Vec::new();
    ciborium::into_writer(&two_accounts(), &mut bytes).expect("encoded");
    let decoded: Accounts = ciborium::from_reader(&bytes[..]).expect("decoded");
    assert_eq!(decoded, two_accounts());
    assert_eq!(decoded.find_by_key(&key(3)).map(|a| a.name.as_str()), Some("two"));
}

#[test]
fn cost_of_a_request() {
    let tokens = Unit::Tokens { plain: 200 };
    assert_eq!(tokens.cost(Size::Tokens(5_072)), Some(5_072));
    assert_eq!(tokens.cost(Size::Unstated), Some(200));
    assert_eq!(tokens.cost(Size::Malformed), None);
    assert_eq!(tokens.cost(Size::Tokens(1 << 63)), None);
    assert_eq!(Unit::Requests.cost(Size::Malformed), Some(1));
}

proptest! {
    #[test]
    fn the_cost_is_the_stated_size_or_none(stated in any::<u64>(), plain in 0_u64..1_000_000) {
        let cost = Unit::Tokens { plain }.cost(Size::Tokens(stated));
        prop_assert_eq!(cost, (stated <= COST_MAX).then_some(stated));
    }

    #[test]
    fn each_key_finds_its_account_and_no_other(count in 1_usize..60, wanted in 0_usize..80) {
        let quota = Some(Quota { bound: Rate { rate: 1.0, burst: 1.0 }, unit: Unit::Requests });
        let rows = (0..count).map(|n| Account { quota, ..account(&n.to_string(), &[n]) });
        let accounts = Accounts::from(rows.collect::<Vec<_>>());
        let found = accounts.find_by_key(&key(wanted)).map(|a| a.name.as_str().to_owned());
        prop_assert_eq!(found, (wanted < count).then(|| wanted.to_string()));
    }
}
