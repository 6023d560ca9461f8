//! Checks the API keys of requests, at arrival and again before they are sent.

use std::sync::Arc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::HeaderValue;

use super::state::{ActiveSite, ForwardState};
use super::wire::HeaderNames;
use crate::customer::{CustomerTable, digest_key};
use crate::metric::forward::CustomerLabels;
use crate::prelude::*;
use crate::shell::line_budget::LineClass;
use crate::vocabulary::site::{KeyDigest, SiteCustomer, SiteRoute};

/// Longest time for which a change of the configuration may be acknowledged before the replies of
/// control contain it. Control publishes a state at most every 250 ms.
const PUBLISH_DELAY_MAX: Duration = Duration::from_millis(300);
/// Number of customers that have their own label in the metrics.
const CUSTOMER_LABELS_MAX: usize = 1_000;
/// Label of all other customers.
const OTHER_CUSTOMERS: &str = "other";

/// Customer that a request was identified with, and what a later check needs.
#[derive(Clone, Debug)]
pub struct RequestAccess {
    /// Customer as described by the configuration at arrival.
    pub customer: Arc<SiteCustomer>,
    digest: KeyDigest,
    /// Version of the configuration at the last check.
    version: u64,
    /// Whether the route needs a key.
    required: bool,
}

/// Returns the key of a request, or `None` unless the headers have exactly one in the form
/// `SCHEME KEY`. The scheme is compared regardless of case.
fn read_key<'head>(names: &HeaderNames, headers: &'head HeaderMap) -> Option<&'head [u8]> {
    let mut values = headers.get_all(&names.authorization).into_iter();
    let value = values.next()?.as_bytes();
    if values.next().is_some() {
        return None;
    }
    let space = value.iter().position(|byte| *byte == b' ')?;
    let (scheme, rest) = value.split_at(space);
    let key = rest.trim_ascii();
    let has_scheme = scheme.eq_ignore_ascii_case(names.key_scheme.as_bytes());
    (has_scheme && !key.is_empty()).then_some(key)
}

impl ForwardState {
    /// Identifies the customer of a request. Returns `None` if requests are not authenticated, or for a
    /// request without a known key on a public route.
    ///
    /// # Errors
    /// [`ResultCode::KeyRefused`] without a known key on a route that needs one,
    /// [`ResultCode::KeysUnconfirmed`] if this entry may not check keys at present.
    pub(super) fn identify_customer(
        &self,
        site: &ActiveSite,
        route: &SiteRoute,
        headers: &HeaderMap,
    ) -> Result<Option<RequestAccess>, ResultCode> {
        let Some(customers) = &site.customers else {
            return Ok(None);
        };
        let digest = read_key(&self.names, headers).map(digest_key);
        if digest.is_some() && !route.is_public && !self.may_check_keys() {
            return Err(ResultCode::KeysUnconfirmed);
        }
        let found = digest.and_then(|digest| Some((digest, customers.find(&digest)?)));
        match found {
            Some((digest, customer)) => Ok(Some(RequestAccess {
                customer: Arc::clone(customer),
                digest,
                version: site.version,
                required: !route.is_public,
            })),
            None if route.is_public => Ok(None),
            None => Err(ResultCode::KeyRefused),
        }
    }

    /// Checks again that a request may be sent, since the configuration may have changed and contact
    /// with control may have been lost after it arrived.
    ///
    /// # Errors
    /// The same as [`Self::identify_customer`].
    pub(super) fn check_access(&self, access: Option<&RequestAccess>) -> Result<(), ResultCode> {
        let Some(access) = access.filter(|access| access.required) else {
            return Ok(());
        };
        if !self.may_check_keys() {
            return Err(ResultCode::KeysUnconfirmed);
        }
        let Some(site) = self.site().filter(|site| site.version != access.version) else {
            return Ok(());
        };
        let is_permitted = site.customers.as_ref().is_none_or(|customers| {
            let current = customers.find(&access.digest);
            current.is_some_and(|customer| customer.name == access.customer.name)
        });
        if is_permitted {
            Ok(())
        } else {
            Err(ResultCode::KeyRefused)
        }
    }

    /// Returns whether the keys of the configuration are recent enough to be checked.
    fn may_check_keys(&self) -> bool {
        let Some(delay) = self.revocation_delay else {
            return true;
        };
        let confirmed_at = self.lease.lock().confirmed_at();
        let valid_for = delay.saturating_sub(PUBLISH_DELAY_MAX);
        confirmed_at.is_some_and(|at| self.clock.now() < at + valid_for)
    }

    /// Logs a request that was refused by its key or its customer, and counts it if by its key.
    pub(super) fn record_access_refusal(
        &self,
        route: &SiteRoute,
        id: &str,
        access: Option<&RequestAccess>,
        code: ResultCode,
    ) {
        if access.is_none() {
            self.counters.requests_unauthorised.inc();
        }
        let customer = access.map_or("-", |access| access.customer.name.as_str());
        self.log.log_line(LineClass::Request, || {
            format!(
                "event=access_refused request={id} route={} customer={customer} code={}",
                route.name,
                code.number()
            )
        });
    }

    /// Counts a request of a customer.
    pub(super) fn count_customer(&self, site: &ActiveSite, access: &RequestAccess) {
        let labels = customer_labels(site, access);
        self.counters.customer_requests.get_or_create(&labels).inc();
    }

    /// Removes the metrics of customers that a new configuration does not have.
    pub(super) fn remove_customer_metrics(&self, former: &ActiveSite, current: &ActiveSite) {
        let names = |site: &ActiveSite| -> std::collections::HashSet<CustomerName> {
            let customers = site.customers.iter().flat_map(CustomerTable::customers);
            customers.map(|customer| customer.name.clone()).collect()
        };
        for name in names(former).difference(&names(current)) {
            let labels = CustomerLabels {
                customer: name.to_string(),
            };
            self.counters.customer_requests.remove(&labels);
        }
    }
}

fn customer_labels(site: &ActiveSite, access: &RequestAccess) -> CustomerLabels {
    let customers = site.customers.as_ref();
    let position = customers.and_then(|customers| customers.find_position(&access.digest));
    let has_own = position.is_some_and(|position| position < CUSTOMER_LABELS_MAX);
    let name = if has_own {
        access.customer.name.as_str()
    } else {
        OTHER_CUSTOMERS
    };
    CustomerLabels {
        customer: name.to_owned(),
    }
}

/// Removes the key and what the caller sent as its customer, and sets the name of the customer that
/// the request was identified with.
pub(super) fn set_customer_headers(
    names: &HeaderNames,
    headers: &mut HeaderMap,
    access: Option<&RequestAccess>,
) {
    headers.remove(&names.authorization);
    headers.remove(&names.customer);
    if let Some(access) = access
        && let Ok(name) = HeaderValue::from_str(access.customer.name.as_str())
    {
        headers.insert(names.customer.clone(), name);
    }
}
