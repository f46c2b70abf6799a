//! Faults of the limit servers.

use std::sync::Arc;

use super::{no_end, EndFault};
use crate::environment::Environment;
use crate::fault::InstanceFault;
use crate::instance::StartTime;
use crate::list_service::EntryState;

impl Environment {
    /// Begins a fault of these limit servers; what ends it is returned.
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
                self.break_responses(&numbers, true);
                Box::new(move || self.break_responses(&numbers, false))
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
                self.never_answer(&numbers, true);
                Box::new(move || self.never_answer(&numbers, false))
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

    fn break_responses(&self, numbers: &[usize], breaks: bool) {
        for number in numbers {
            self.instances()[*number].set_breaks_responses(breaks);
        }
    }

    fn never_answer(&self, numbers: &[usize], never: bool) {
        for number in numbers {
            self.instances()[*number].set_never_answers(never);
        }
    }
}
