use std::fs::{self, File};

use tokio::task::{LocalSet, yield_now};

use super::*;

/// The name of a stored file that ends so.
fn stored(end: &str) -> String {
    format!("{STATE_FILE_PREFIX}-{end}")
}

fn names() -> Names {
    Names { classes: vec!["look".to_owned()], ..Names::default() }
}

/// A folder of one test's own, empty.
fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("process-state-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).expect("a folder");
    dir
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// What a process that starts on this folder finds.
async fn found(dir: &Path, name: &str, names: &Names) -> ProcessState {
    let handover = ProcessState::open(Some(dir.to_owned()), name, names);
    handover.read_at_start().await;
    handover
}

async fn take_out(handover: &ProcessState, name: &'static str) -> Result<(), StateFileError> {
    handover.change(move |state| assert!(state.disabled.insert(name.into()))).await
}

/// Guards against two processes that undo each other's changes.
#[test]
fn both_processes_see_what_either_has_changed() {
    run(async {
        let dir = folder("both");
        let (old, new) = (found(&dir, "n/0", &names()).await, found(&dir, "n/0", &names()).await);
        assert_eq!((old.refresh().await, new.refresh().await), (false, false));
        take_out(&old, "s1").await.expect("written");
        take_out(&new, "s2").await.expect("written");
        assert!(old.refresh().await && !old.refresh().await);
        assert_eq!(old.state(), new.state());
        assert_eq!(old.state().disabled.len(), 2);
        old.change(|state| assert!(state.disabled.remove("s2"))).await.expect("written");
        assert!(new.refresh().await);
        assert_eq!(new.state().disabled, BTreeSet::from(["s1".to_owned()]));
    });
}

/// Guards against a start that fails, or a call that is lost, over a file that is no good.
#[test]
fn a_file_that_is_no_good_counts_as_none_and_is_replaced() {
    run(async {
        let dir = folder("spoilt");
        let path = dir.join(stored("n0.json"));
        for spoilt in
            ["", "{\"version\":1,\"out\":[\"s1\"", "{\"version\":2,\"out\":[\"s1\"]}", "\u{0}", "[]"]
        {
            fs::write(&path, spoilt).expect("written");
            let handover = found(&dir, "n0", &names()).await;
            assert_eq!(handover.state(), State::default(), "{spoilt}");
            take_out(&handover, "s3").await.expect("written");
            let next = found(&dir, "n0", &names()).await;
            assert_eq!(next.state().disabled, BTreeSet::from(["s3".to_owned()]), "{spoilt}");
        }
        fs::remove_file(&path).expect("removed");
        fs::create_dir(&path).expect("no file at all");
        let handover = found(&dir, "n0", &names()).await;
        assert!(take_out(&handover, "s1").await.is_err());
        assert_eq!(handover.state(), State::default(), "what could not be written has not happened");
    });
}

#[test]
fn without_a_folder_changes_last_as_long_as_the_process() {
    run(async {
        let handover = ProcessState::open(None, "n0", &names());
        take_out(&handover, "s1").await.expect("kept");
        assert!(handover.state().disabled.contains("s1") && !handover.refresh().await);
    });
}

/// Guards against what another client proxy has left, or one of another deployment: an endpoint that is
/// out there, or its list, is nothing to this one. What an earlier version of the program left does not say
/// whose it is.
#[test]
fn what_belongs_to_another_is_not_believed() {
    run(async {
        let dir = folder("another");
        let others = Names { classes: vec!["pay".to_owned()], ..Names::default() };
        for (name, names_there) in [("n_0", names()), ("n/0", others)] {
            let other = found(&dir, name, &names_there).await;
            take_out(&other, "s1").await.expect("written");
            let here = found(&dir, "n/0", &names()).await;
            assert_eq!(here.state(), State::default(), "{name}");
            take_out(&here, "s3").await.expect("written");
            let next = found(&dir, "n/0", &names()).await;
            assert_eq!(next.state().disabled, BTreeSet::from(["s3".to_owned()]), "{name}");
        }
        fs::write(dir.join(stored("n_0.json")), "{\"version\":1,\"out\":[\"s1\"]}").expect("written");
        let here = found(&dir, "n/0", &names()).await;
        assert_eq!(here.state().disabled, BTreeSet::from(["s1".to_owned()]));
    });
}

/// Guards against an event loop that stands still while another process, or the disk, keeps an operation
/// waiting.
#[test]
fn a_lock_that_another_process_holds_stops_nothing_but_the_change() {
    run(async {
        let dir = folder("lock");
        let handover = found(&dir, "n0", &names()).await;
        take_out(&handover, "s1").await.expect("written");
        let lock = File::open(dir.join(stored("n0.lock"))).expect("the lock");
        lock.lock().expect("held");
        let order = RefCell::new(Vec::new());
        let change = async {
            assert!(matches!(take_out(&handover, "s2").await, Err(StateFileError::Locked)));
            order.borrow_mut().push("change");
        };
        let other = async {
            yield_now().await;
            order.borrow_mut().push("another task");
        };
        tokio::join!(change, other);
        assert_eq!(*order.borrow(), ["another task", "change"]);
        assert_eq!(handover.state().disabled, BTreeSet::from(["s1".to_owned()]));
        drop(lock);
        take_out(&handover, "s2").await.expect("written");
    });
}

/// Guards against a start, or a change, that takes a file that cannot be read for none and so loses what it
/// holds.
#[test]
fn a_file_that_cannot_be_read_is_waited_for_and_not_replaced() {
    run(async {
        let dir = folder("unreadable");
        let path = dir.join(stored("n0.json"));
        // Reading a link to itself fails, also for root.
        std::os::unix::fs::symlink(&path, &path).expect("a link");
        let handover = Rc::new(ProcessState::open(Some(dir.clone()), "n0", &names()));
        let starting = Rc::clone(&handover);
        let start = spawn_local(async move { starting.read_at_start().await });
        yield_now().await;
        // Its read comes after the first one of the start.
        assert!(!handover.refresh().await);
        yield_now().await;
        assert!(!start.is_finished(), "it is not known what is there");
        assert!(take_out(&handover, "s1").await.is_err());
        assert!(path.is_symlink(), "it was replaced");
        fs::write(dir.join("good"), "{\"version\":1,\"out\":[\"s3\"]}").expect("written");
        fs::rename(dir.join("good"), &path).expect("it can be read again");
        start.await.expect("no panic");
        assert_eq!(handover.state().disabled, BTreeSet::from(["s3".to_owned()]));
    });
}

/// Guards against a process killed in the middle of a write, whose half of a file is in the way or is
/// believed.
#[test]
fn what_a_killed_process_had_begun_is_overwritten() {
    run(async {
        let dir = folder("half");
        let new = dir.join(stored("n0.new"));
        fs::write(dir.join(stored("n0.json")), "{\"version\":1,\"out\":[\"s1\"]}").expect("written");
        fs::write(dir.join(stored("n0.lock")), "").expect("written");
        fs::write(&new, "{\"version\":1,\"out\":[\"s1\",\"s2\"],".to_owned() + &" ".repeat(9999))
            .expect("written");
        let next = found(&dir, "n0", &names()).await;
        assert_eq!(next.state().disabled, BTreeSet::from(["s1".to_owned()]));
        take_out(&next, "s3").await.expect("written");
        assert!(!new.exists());
        let newer = found(&dir, "n0", &names()).await;
        assert_eq!(newer.state().disabled, BTreeSet::from(["s1".to_owned(), "s3".to_owned()]));
    });
}

/// Guards against a change that comes into force after its caller has been told that it does not.
#[test]
fn a_change_that_nobody_waits_for_any_more_changes_nothing() {
    run(async {
        let dir = folder("abandoned");
        let handover = found(&dir, "n0", &names()).await;
        take_out(&handover, "s1").await.expect("written");
        let file = handover.file.clone().expect("a folder");
        let verdict = CommitDecision::default();
        assert!(verdict.abandon() && !verdict.abandon());
        let change = |state: &mut State| assert!(state.disabled.insert("s2".into()));
        let failed = file.change(handover.state(), change, &verdict).expect_err("not in force");
        assert!(matches!(failed.error, StateFileError::TimedOut) && failed.rollback.is_none());
        assert!(!dir.join(stored("n0.new")).exists());
        assert_eq!(found(&dir, "n0", &names()).await.state().disabled, BTreeSet::from(["s1".to_owned()]));
    });
}

/// Guards against space held by what could not be written, and against a word that is kept only here.
#[test]
fn a_change_that_cannot_be_written_changes_nothing() {
    run(async {
        let dir = folder("unwritten");
        let handover = found(&dir, "n0", &names()).await;
        take_out(&handover, "s1").await.expect("written");
        let new = dir.join(stored("n0.new"));
        fs::create_dir(&new).expect("it cannot be opened for writing");
        assert!(take_out(&handover, "s2").await.is_err());
        assert_eq!(handover.state().disabled, BTreeSet::from(["s1".to_owned()]));
        fs::remove_dir(&new).expect("good again");
        take_out(&handover, "s3").await.expect("written");
        let wanted = BTreeSet::from(["s1".to_owned(), "s3".to_owned()]);
        assert_eq!(found(&dir, "n0", &names()).await.state().disabled, wanted);
    });
}

/// Guards against an operator's word to the other process that comes in with a change of this one and is not
/// followed.
#[test]
fn what_comes_in_with_a_change_of_ones_own_is_news() {
    run(async {
        let dir = folder("own");
        let (old, new) = (found(&dir, "n0", &names()).await, found(&dir, "n0", &names()).await);
        take_out(&old, "s1").await.expect("written");
        new.register_process().await.expect("written");
        assert_eq!(new.state().disabled, BTreeSet::from(["s1".to_owned()]));
        assert!(new.refresh().await && !new.refresh().await);
    });
}
