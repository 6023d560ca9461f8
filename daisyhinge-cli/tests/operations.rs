//! The commands of `docs/OPERATIONS.md`, run in order against a real group of control VMs and
//! entries.

#[path = "support/real_group.rs"]
mod real_group;

use std::path::PathBuf;

use real_group::RealGroup;

/// Returns all code blocks of the page that are marked `sh`, indented or not, as one script.
fn read_script() -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("../docs/OPERATIONS.md")).unwrap();
    let mut script = String::new();
    let mut inside = false;
    for line in page.lines().map(str::trim_start) {
        match line {
            "```sh" => inside = true,
            "```" => inside = false,
            _ if inside => {
                script.push_str(line);
                script.push('\n');
            }
            _ => {}
        }
    }
    script
}

#[test]
fn documented_commands_work_in_order() {
    let group = RealGroup::open();
    let document = include_str!("../examples/production.json");
    let folder = group.folder.path();
    std::fs::write(folder.join("production.json"), document).unwrap();
    std::fs::write(folder.join("trial.json"), document.replace("2000", "2500")).unwrap();
    let script = read_script();
    assert!(script.lines().count() > 20, "{script}");
    let output = group.run(&script);
    let (out, err) = (
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    assert!(output.status.success(), "stdout: {out}\nstderr: {err}");
    assert!(out.contains("in force on every entry"), "{out}");
    assert!(out.contains("event=change-committed"), "{out}");
    group.close();
}
