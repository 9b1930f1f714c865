//! Allocation of ports for processes on several loopback addresses.

use std::net::{Ipv4Addr, TcpListener};

use briartray_standin::free_port;

/// Addresses of two hosts.
const HOSTS: [Ipv4Addr; 2] = [Ipv4Addr::LOCALHOST, Ipv4Addr::new(127, 0, 0, 4)];

/// Guards against a port that another process listens on, at an address other than the first.
#[test]
fn a_port_in_use_on_any_host_is_passed_over() {
    let port = free_port(&HOSTS).expect("a free port");
    let taken: Vec<TcpListener> =
        (1..=3).filter_map(|step| TcpListener::bind((HOSTS[1], port + step)).ok()).collect();

    let next = free_port(&HOSTS).expect("a free port");

    let used = taken.iter().map(|listener| listener.local_addr().expect("it listens").port());
    assert!(used.into_iter().all(|used| used != next), "{next} is in use");
    assert!(TcpListener::bind((HOSTS[1], next)).is_ok());
}
