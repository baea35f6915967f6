use super::*;

fn names() -> Names {
    Names { classes: vec!["look".to_owned()], ..Names::default() }
}

/// A folder of one test's own, empty.
fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("martensill-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).expect("a folder");
    dir
}

/// Guards against two processes that undo each other's changes.
#[test]
fn both_processes_see_what_either_has_changed() {
    let dir = folder("both");
    let (old, new) =
        (Handover::open(Some(dir.clone()), "n/0", &names()), Handover::open(Some(dir), "n/0", &names()));
    assert_eq!((old.news(), new.news()), (false, false));
    old.change(|state| assert!(state.out.insert("s1".into()))).expect("written");
    new.change(|state| assert!(state.out.insert("s2".into()))).expect("written");
    assert!(old.news() && !old.news());
    assert_eq!(old.state(), new.state());
    assert_eq!(old.state().out.len(), 2);
    old.change(|state| assert!(state.out.remove("s2"))).expect("written");
    assert!(new.news());
    assert_eq!(new.state().out, BTreeSet::from(["s1".to_owned()]));
}

/// Guards against a start that fails, or a call that is lost, over a file that is no good.
#[test]
fn a_file_that_is_no_good_counts_as_none_and_is_replaced() {
    let dir = folder("spoilt");
    let path = dir.join("martensill-n0.json");
    for spoilt in ["", "{\"version\":1,\"out\":[\"s1\"", "{\"version\":2,\"out\":[\"s1\"]}", "\u{0}", "[]"] {
        fs::write(&path, spoilt).expect("written");
        let handover = Handover::open(Some(dir.clone()), "n0", &names());
        assert_eq!(handover.state(), State::default(), "{spoilt}");
        handover.change(|state| assert!(state.out.insert("s3".into()))).expect("written");
        let next = Handover::open(Some(dir.clone()), "n0", &names());
        assert_eq!(next.state().out, BTreeSet::from(["s3".to_owned()]), "{spoilt}");
    }
    fs::remove_file(&path).expect("removed");
    fs::create_dir(&path).expect("no file at all");
    let handover = Handover::open(Some(dir), "n0", &names());
    assert!(handover.change(|state| assert!(state.out.insert("s1".into()))).is_err());
    assert_eq!(handover.state(), State::default(), "what could not be written has not happened");
}

#[test]
fn without_a_folder_changes_last_as_long_as_the_process() {
    let handover = Handover::open(None, "n0", &names());
    handover.change(|state| assert!(state.out.insert("s1".into()))).expect("kept");
    assert!(handover.state().out.contains("s1") && !handover.news());
}

/// Guards against what another client proxy has left, or one of another deployment: an order server that is out there, or
/// its list, is nothing to this one. What an earlier version of the program left does not say whose it is.
#[test]
fn what_belongs_to_another_is_not_believed() {
    let dir = folder("another");
    let others = Names { classes: vec!["pay".to_owned()], ..Names::default() };
    for (name, names_there) in [("n_0", names()), ("n/0", others)] {
        let other = Handover::open(Some(dir.clone()), name, &names_there);
        other.change(|state| assert!(state.out.insert("s1".into()))).expect("written");
        let here = Handover::open(Some(dir.clone()), "n/0", &names());
        assert_eq!(here.state(), State::default(), "{name}");
        here.change(|state| assert!(state.out.insert("s3".into()))).expect("written");
        let next = Handover::open(Some(dir.clone()), "n/0", &names());
        assert_eq!(next.state().out, BTreeSet::from(["s3".to_owned()]), "{name}");
    }
    fs::write(dir.join("martensill-n_0.json"), "{\"version\":1,\"out\":[\"s1\"]}").expect("written");
    let here = Handover::open(Some(dir), "n/0", &names());
    assert_eq!(here.state().out, BTreeSet::from(["s1".to_owned()]));
}
