//! Imports of the library run one way: no module imports another one that comes back to it.
//!
//! A module and those beneath it count as one thing to each other, since a parent shows what its
//! children hold and children carry on their parent's types.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

type ModuleName = String;
type ImportGraph = BTreeMap<ModuleName, BTreeSet<ModuleName>>;

fn list_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            list_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Sources by the name of their module, such as `search::plan`.
fn read_modules() -> BTreeMap<ModuleName, String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut paths = Vec::new();
    list_sources(&root, &mut paths);
    let named = paths.into_iter().map(|path| {
        let place = path
            .strip_prefix(&root)
            .expect("a source")
            .with_extension("");
        let parts: Vec<_> = place.iter().map(|part| part.to_string_lossy()).collect();
        (
            parts.join("::"),
            fs::read_to_string(&path).expect("a source"),
        )
    });
    named.filter(|(name, _)| name != "lib").collect()
}

/// The trees of all `use` statements, without spaces.
fn list_imports(text: &str) -> Vec<String> {
    let code: Vec<&str> = text
        .lines()
        .map(|line| line.split("//").next().unwrap_or(""))
        .collect();
    let code = code.join(" ");
    let statements = code.split(';').filter_map(|statement| {
        let at = statement.rfind("use ")?;
        let before = statement[..at].trim_end();
        let starts = before.is_empty() || before.ends_with(['}', '{', ']', ')', '>']);
        let starts = starts || before.ends_with("pub");
        starts.then(|| statement[at + 4..].split_whitespace().collect())
    });
    statements.collect()
}

/// The single paths of a tree such as `a::{b, c::{d, e}}`.
fn expand_tree(tree: &str) -> Vec<String> {
    let Some((head, rest)) = tree.split_once("::{") else {
        return vec![tree.to_owned()];
    };
    let inner = rest.strip_suffix('}').unwrap_or(rest);
    let mut depth = 0;
    let branches = inner.split(|letter| {
        match letter {
            '{' => depth += 1,
            '}' => depth -= 1,
            _ => {}
        }
        letter == ',' && depth == 0
    });
    let branches = branches.filter(|branch| !branch.is_empty());
    branches
        .flat_map(|branch| expand_tree(&format!("{head}::{branch}")))
        .collect()
}

/// The module that a path leads to, seen from `from`.
fn resolve_path(
    modules: &BTreeMap<ModuleName, String>,
    from: &str,
    path: &str,
) -> Option<ModuleName> {
    let mut place: Vec<&str> = from.split("::").collect();
    let mut parts = path.split("::").peekable();
    if parts.next_if_eq(&"crate").is_some() {
        place.clear();
    } else {
        while parts.next_if_eq(&"super").is_some() {
            place.pop();
        }
    }
    place.extend(parts);
    (1..=place.len())
        .rev()
        .map(|count| place[..count].join("::"))
        .find(|name| modules.contains_key(name))
}

fn are_kin(one: &str, other: &str) -> bool {
    let above = |high: &str, low: &str| {
        low.strip_prefix(high)
            .is_some_and(|rest| rest.starts_with("::"))
    };
    one == other || above(one, other) || above(other, one)
}

fn build_graph(modules: &BTreeMap<ModuleName, String>) -> ImportGraph {
    let mut graph = ImportGraph::new();
    for (name, text) in modules {
        let paths = list_imports(text);
        let paths = paths.iter().flat_map(|tree| expand_tree(tree));
        let found = paths.filter_map(|path| resolve_path(modules, name, &path));
        let found = found.filter(|other| !are_kin(name, other)).collect();
        graph.insert(name.clone(), found);
    }
    graph
}

/// All modules that are reached from one by its imports.
fn reach(graph: &ImportGraph, from: &str) -> BTreeSet<ModuleName> {
    let mut reached = BTreeSet::new();
    let mut open = vec![from.to_owned()];
    while let Some(name) = open.pop() {
        for next in graph.get(&name).into_iter().flatten() {
            if reached.insert(next.clone()) {
                open.push(next.clone());
            }
        }
    }
    reached
}

#[test]
fn no_module_is_reached_from_itself() {
    let modules = read_modules();
    let graph = build_graph(&modules);
    let edges: usize = graph.values().map(BTreeSet::len).sum();
    assert!(edges > 400, "imports are found: {edges}");
    let circular = graph
        .keys()
        .filter(|name| reach(&graph, name).contains(*name));
    let circular: Vec<_> = circular.collect();
    assert!(circular.is_empty(), "{circular:?}");
}

#[test]
fn trees_of_imports_are_read() {
    let text = "use a::b;\npub use crate::c::{d, e::{f, g}}; // use x::y;\nfn h() {}\n";
    let paths: Vec<_> = list_imports(text)
        .iter()
        .flat_map(|tree| expand_tree(tree))
        .collect();
    assert_eq!(
        paths,
        ["a::b", "crate::c::d", "crate::c::e::f", "crate::c::e::g"]
    );
}
