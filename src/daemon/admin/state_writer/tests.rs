use super::*;

/// A running writer whose directory does not exist until the test creates `missing`.
struct Writer {
    queue: StateQueue,
    role: watch::Sender<ProcessRole>,
    directory: SharedDirectory,
    _parent: tempfile::TempDir,
    missing: std::path::PathBuf,
}

fn writer() -> Writer {
    let parent = tempfile::tempdir().expect("a directory");
    let missing = parent.path().join("missing");
    let directory = SharedDirectory::at_path(&missing, "node");
    let (role, roles) = watch::channel(ProcessRole::Active);
    let (queue, requests) = queue();
    tokio::spawn(StateWriter::new(directory.clone(), roles, requests, None).run());
    Writer {
        queue,
        role,
        directory,
        _parent: parent,
        missing,
    }
}

fn one_in_maintenance() -> MaintenanceSet {
    let mut maintenance = MaintenanceSet::default();
    maintenance.disable("s-1", true).expect("not full");
    maintenance
}

async fn wait_until_written(writer: &Writer) {
    let written = async {
        while !writer.directory.read_maintenance_set().contains("s-1") {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let written = tokio::time::timeout(Duration::from_secs(30), written).await;
    written.expect("written in time");
}

#[tokio::test]
async fn failed_write_is_retried_until_it_succeeds() {
    let writer = writer();
    let write = write(&writer.queue, one_in_maintenance()).await;
    assert!(write.first_attempt().await.is_err());
    std::fs::create_dir(&writer.missing).expect("created");
    wait_until_written(&writer).await;
}

#[tokio::test]
async fn retry_waits_while_another_process_is_active_and_resumes_after_that_one_failed() {
    let writer = writer();
    let write = write(&writer.queue, one_in_maintenance()).await;
    assert!(write.first_attempt().await.is_err());
    writer.role.send_replace(ProcessRole::Superseded);
    std::fs::create_dir(&writer.missing).expect("created");
    // Long enough for a retry to happen.
    tokio::time::sleep(2 * RETRY_INTERVAL).await;
    assert!(!writer.directory.read_maintenance_set().contains("s-1"));
    writer.role.send_replace(ProcessRole::Active);
    wait_until_written(&writer).await;
}

/// Guards against a state file with the older set of a new process that took over and died.
#[tokio::test]
async fn set_is_written_again_after_a_new_process_failed_that_may_have_overwritten_it() {
    let writer = writer();
    std::fs::create_dir(&writer.missing).expect("created");
    let write = write(&writer.queue, one_in_maintenance()).await;
    write.first_attempt().await.expect("written");
    writer.role.send_replace(ProcessRole::Superseded);
    let older = MaintenanceSet::default();
    writer
        .directory
        .write_maintenance_set(&older)
        .expect("written");
    writer.role.send_replace(ProcessRole::Active);
    wait_until_written(&writer).await;
}
