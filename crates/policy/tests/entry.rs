//! Memory that a balancer needs for each flow.

use skylarkflow_policy::flow::{Entry, Key};

/// Guards against entries that outgrow the memory bound of 200 bytes per flow.
#[test]
fn entry_fits_200_bytes() {
    let bytes = size_of::<(Key, Entry)>();
    println!("{bytes} bytes per flow");
    assert!(bytes <= 200, "{bytes} bytes per flow");
}
