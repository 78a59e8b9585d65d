//! Binary of the entry host.
fn main(){}
