use super::*;

/// Guards against memory that grows with every name, and against a name that comes back as another one.
#[test]
fn a_number_goes_with_its_name_and_comes_back_with_it() {
    let ids = Ids::default();
    let (first, other) = (ids.of("s-1"), ids.of("s-2"));
    ids.forget(first);
    assert_eq!((ids.known("s-1"), ids.known("s-2")), (None, Some(other)));
    assert_eq!(ids.names.borrow().len(), 1);
    assert_eq!(ids.of("s-1"), first);
}
