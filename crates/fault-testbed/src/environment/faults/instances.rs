//! Faults of the limit servers.

use std::sync::Arc;

use super::{no_end, EndFault};
use crate::environment::Environment;
use crate::fault::InstanceFault;
use crate::instance::StartTime;
use crate::list_service::EntryState;

impl Environment {
    /// Begins a fault of these limit servers and returns the function that ends it.
    pub(super) async fn begin_instance_fault(
        self: Arc<Self>,
        numbers: Vec<usize>,
        fault: InstanceFault,
    ) -> EndFault {
        match fault {
            InstanceFault::Restart => self.restart_instances(&numbers),
            InstanceFault::Replace => self.replace_instances(&numbers).await,
            InstanceFault::Remove => self.remove_instances(&numbers),
            InstanceFault::TruncateResponses => {
                self.truncate_responses(&numbers, true);
                Box::new(move || self.truncate_responses(&numbers, false))
            }
            InstanceFault::Drain => {
                for number in numbers {
                    self.list_service
                        .set_entry_state(number, EntryState::Draining);
                }
                no_end()
            }
            InstanceFault::FailRequests => {
                self.fail_requests(&numbers, true);
                Box::new(move || self.fail_requests(&numbers, false))
            }
            InstanceFault::NeverRespond => {
                self.never_respond(&numbers, true);
                Box::new(move || self.never_respond(&numbers, false))
            }
        }
    }

    fn restart_instances(&self, numbers: &[usize]) -> EndFault {
        for number in numbers {
            let instance = self.instances()[*number].clone();
            instance.restart();
            self.list_service
                .add(*number, number % self.topology.zones, StartTime::Now);
        }
        no_end()
    }

    async fn replace_instances(&self, numbers: &[usize]) -> EndFault {
        for number in numbers {
            self.remove_instance(*number);
            let _ = self.add_instance(StartTime::Now).await;
        }
        no_end()
    }

    fn remove_instances(&self, numbers: &[usize]) -> EndFault {
        for number in numbers {
            self.remove_instance(*number);
        }
        no_end()
    }

    fn fail_requests(&self, numbers: &[usize], fails: bool) {
        for number in numbers {
            self.instances()[*number].set_fails_requests(fails);
        }
    }

    fn truncate_responses(&self, numbers: &[usize], truncates: bool) {
        for number in numbers {
            self.instances()[*number].set_truncates_responses(truncates);
        }
    }

    fn never_respond(&self, numbers: &[usize], never: bool) {
        for number in numbers {
            self.instances()[*number].set_never_responds(never);
        }
    }
}
