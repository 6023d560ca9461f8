//! Dispatch to replicas: routes, shares, retry budgets, load balancing and complete requests,
//! without a network.

#[path = "dispatch/admission.rs"]
mod admission;
#[path = "dispatch/admission_queue.rs"]
mod admission_queue;
#[path = "dispatch/admission_requests.rs"]
mod admission_requests;
#[path = "dispatch/admission_world.rs"]
mod admission_world;
#[path = "dispatch/answers.rs"]
mod answers;
#[path = "dispatch/caller.rs"]
mod caller;
#[path = "dispatch/choice.rs"]
mod choice;
#[path = "dispatch/cold.rs"]
mod cold;
#[path = "dispatch/crash.rs"]
mod crash;
#[path = "dispatch/crash_reports.rs"]
mod crash_reports;
#[path = "dispatch/detours.rs"]
mod detours;
#[path = "dispatch/load.rs"]
mod load;
#[path = "dispatch/notices.rs"]
mod notices;
#[path = "dispatch/parts.rs"]
mod parts;
#[path = "dispatch/planned_stop.rs"]
mod planned_stop;
#[path = "dispatch/rates.rs"]
mod rates;
#[path = "dispatch/requests.rs"]
mod requests;
#[path = "dispatch/rollout_counts.rs"]
mod rollout_counts;
#[path = "dispatch/rollouts.rs"]
mod rollouts;
#[path = "dispatch/support.rs"]
mod support;
#[path = "dispatch/world.rs"]
mod world;
