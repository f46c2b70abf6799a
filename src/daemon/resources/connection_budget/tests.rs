use super::*;

const MIB: usize = 1024 * 1024;

fn budget(max_descriptors: usize, max_memory_mib: usize) -> ConnectionBudget {
    ConnectionBudget::new(max_descriptors, MemoryBudget::new(max_memory_mib * MIB))
}

#[test]
fn descriptors_bound_the_connections_where_there_is_memory_for_them() {
    for (max_descriptors, max_memory_mib) in [(256, 32), (512, 40), (1_024, 80)] {
        let budget = budget(max_descriptors, max_memory_mib);
        assert_eq!(budget.clients, max_descriptors.div_ceil(3));
        assert_eq!(budget.spare, max_descriptors / 16);
        assert!(budget.upstream >= budget.clients);
    }
}

/// Guards against more connections than the memory can hold.
#[test]
fn memory_bounds_the_connections_where_there_are_descriptors_for_more() {
    let budget = budget(1_024, 32);
    let connections = MemoryBudget::new(32 * MIB).client_connections;
    assert_eq!(budget.clients + budget.spare, connections);
    assert!(budget.spare > 0 && budget.clients > 6 * budget.spare);
    assert_eq!(budget.upstream, connections);
}

#[test]
fn smallest_process_has_connections_of_each_kind() {
    let budget = budget(64, 1);
    assert!(budget.clients > 0 && budget.spare > 0 && budget.upstream > 0);
}
