use super::*;

#[test]
fn descriptors_suffice_for_all_under_any_limit() {
    for sockets in 32..4096 {
        let parts = Parts::of(sockets, 0);
        assert!(parts.calls > 0 && parts.connections >= sockets / 2, "{sockets}");
        assert!(parts.connections + parts.calls < sockets, "{sockets}");
    }
}
