//! Client accounts, their keys and their allowances, as declared by the operator.

use {
    faststr::FastStr,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{collections::BTreeSet, fmt, sync::Arc},
    subtle::ConstantTimeEq,
};

/// Bytes of a key's digest by which it is looked up; the others are compared in constant time.
const LOOKUP_BYTES: usize = 8;

/// Priorities that an engine tells apart.
const ENGINE_PRIORITIES: u8 = 10;

/// SHA-256 digest of a caller's key. Keys themselves are not kept.
#[derive(Clone, Copy, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct ApiKeyDigest([u8; 32]);

// digests must not appear in log lines either
impl fmt::Debug for ApiKeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKeyDigest")
    }
}

impl ApiKeyDigest {
    /// The digest of `key`.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    fn lookup_bytes(&self) -> [u8; LOOKUP_BYTES] {
        self.0.first_chunk().copied().unwrap_or_default()
    }
}

/// Unit in which the requests of an account are counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub enum AllowanceUnit {
    /// Each request counts as one.
    #[default]
    Requests,
    /// A request counts as its tokens: those of its prompt and the most that it may generate.
    Tokens,
}

/// What an account may ask for, over all hosts together.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Allowance {
    /// Unit of the rate and the burst.
    pub unit: AllowanceUnit,
    /// Units a second.
    pub rate_per_s: u64,
    /// Units that may be saved up.
    pub burst: u64,
    /// Units of a request without a token count, if tokens are counted.
    pub plain_tokens: u64,
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Its name, unique in one revision.
    pub name: FastStr,
    /// Rank of its requests, which goes before that of the route; 0 comes first.
    pub urgency: Option<u8>,
    /// What it may ask for; unlimited if `None`.
    pub allowance: Option<Allowance>,
    /// Digests of its keys.
    pub keys: Vec<ApiKeyDigest>,
}

/// The client accounts of one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<Account>", into = "Vec<Account>")]
pub struct Accounts {
    // distinct priorities of accounts, most urgent first; empty if no account has one
    urgencies: Vec<u8>,
    by_name: IndexMap<FastStr, Arc<Account>>,
    // keys with the same first bytes are rare, but possible
    by_key: IndexMap<[u8; LOOKUP_BYTES], Vec<(ApiKeyDigest, Arc<Account>)>>,
}

impl Accounts {
    /// True if callers need no key, since no account is declared.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// All accounts.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_name.values()
    }

    /// The account of this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// Priority of a request of `account` at an engine, 0 is the most urgent. The account's priority goes
    /// before the route's, which decides between requests of accounts with the same one. An account
    /// without a priority counts as most urgent if others have one.
    #[must_use]
    pub fn request_priority(&self, account: Option<&Account>, route_urgency: u8) -> u8 {
        let Some(account) = account.filter(|_| !self.urgencies.is_empty()) else {
            return route_urgency;
        };
        let levels = u8::try_from(self.urgencies.len()).unwrap_or(u8::MAX);
        let route_levels = (ENGINE_PRIORITIES / levels).max(1);
        let urgency = account.urgency.unwrap_or(0);
        let rank = self.urgencies.iter().take_while(|other| **other < urgency).count();
        let rank = u8::try_from(rank).unwrap_or(u8::MAX);
        rank.saturating_mul(route_levels)
            .saturating_add(route_urgency.min(route_levels - 1))
            .min(ENGINE_PRIORITIES - 1)
    }

    /// The account that holds `key`.
    #[must_use]
    pub fn find_by_key(&self, key: &ApiKeyDigest) -> Option<&Arc<Account>> {
        let candidates = self.by_key.get(&key.lookup_bytes())?;
        let is_equal = |(digest, _): &&(ApiKeyDigest, Arc<Account>)| digest.0.ct_eq(&key.0).into();
        candidates.iter().find(is_equal).map(|(_, account)| account)
    }
}

impl From<Vec<Account>> for Accounts {
    fn from(accounts: Vec<Account>) -> Self {
        // entries of one name are one account with the keys of all, which is the same at all hosts
        let mut merged: IndexMap<FastStr, Account> = IndexMap::new();
        for account in accounts {
            match merged.get_mut(&account.name) {
                Some(earlier) => earlier.keys.extend(account.keys),
                None => drop(merged.insert(account.name.clone(), account)),
            }
        }
        let has_urgencies = merged.values().any(|account| account.urgency.is_some());
        let urgencies: BTreeSet<u8> =
            merged.values().map(|account| account.urgency.unwrap_or(0)).collect();
        let mut this = Self {
            urgencies: urgencies.into_iter().filter(|_| has_urgencies).collect(),
            ..Self::default()
        };
        for account in merged.into_values().map(Arc::new) {
            for key in &account.keys {
                let same = this.by_key.entry(key.lookup_bytes()).or_default();
                same.push((*key, account.clone()));
            }
            this.by_name.insert(account.name.clone(), account);
        }
        this
    }
}

impl From<Accounts> for Vec<Account> {
    fn from(accounts: Accounts) -> Self {
        accounts.by_name.into_values().map(Arc::unwrap_or_clone).collect()
    }
}
