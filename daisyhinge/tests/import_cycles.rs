//! The library's modules have no import cycles.
//!
//! Imports between a module and its descendants are ignored: a parent re-exports items of its
//! children, and children implement their parent's types.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

type ModuleName = String;
type ImportGraph = BTreeMap<ModuleName, BTreeSet<ModuleName>>;

fn list_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("folder is readable") {
        let path = entry.expect("folder entry is readable").path();
        if path.is_dir() {
            list_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Reads all sources, by module name such as `search::plan`.
fn read_modules() -> BTreeMap<ModuleName, String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut paths = Vec::new();
    list_sources(&root, &mut paths);
    let named = paths.into_iter().map(|path| {
        let segments = path
            .strip_prefix(&root)
            .expect("path is below the root")
            .with_extension("");
        let parts: Vec<_> = segments.iter().map(|part| part.to_string_lossy()).collect();
        (
            parts.join("::"),
            fs::read_to_string(&path).expect("source is readable"),
        )
    });
    named.filter(|(name, _)| name != "lib").collect()
}

/// Lists the trees of all `use` statements, without spaces.
fn list_imports(text: &str) -> Vec<String> {
    let code: Vec<&str> = text
        .lines()
        .map(|line| line.split("//").next().unwrap_or(""))
        .collect();
    let code = code.join(" ");
    let statements = code.split(';').filter_map(|statement| {
        let at = statement.rfind("use ")?;
        let before = statement[..at].trim_end();
        let is_statement = before.is_empty() || before.ends_with(['}', '{', ']', ')', '>']);
        let is_statement = is_statement || before.ends_with("pub");
        is_statement.then(|| statement[at + 4..].split_whitespace().collect())
    });
    statements.collect()
}

/// Expands a tree such as `a::{b, c::{d, e}}` to its paths.
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

/// Finds the module of a path that is imported in the module `from`.
fn resolve_path(
    modules: &BTreeMap<ModuleName, String>,
    from: &str,
    path: &str,
) -> Option<ModuleName> {
    let mut segments: Vec<&str> = from.split("::").collect();
    let mut parts = path.split("::").peekable();
    if parts.next_if_eq(&"crate").is_some() {
        segments.clear();
    } else {
        while parts.next_if_eq(&"super").is_some() {
            segments.pop();
        }
    }
    segments.extend(parts);
    (1..=segments.len())
        .rev()
        .map(|count| segments[..count].join("::"))
        .find(|name| modules.contains_key(name))
}

/// Returns whether two modules are the same, or one is a descendant of the other.
fn are_related(first: &str, second: &str) -> bool {
    let is_ancestor = |ancestor: &str, descendant: &str| {
        descendant
            .strip_prefix(ancestor)
            .is_some_and(|rest| rest.starts_with("::"))
    };
    first == second || is_ancestor(first, second) || is_ancestor(second, first)
}

fn build_graph(modules: &BTreeMap<ModuleName, String>) -> ImportGraph {
    let mut graph = ImportGraph::new();
    for (name, text) in modules {
        let paths = list_imports(text);
        let paths = paths.iter().flat_map(|tree| expand_tree(tree));
        let found = paths.filter_map(|path| resolve_path(modules, name, &path));
        let found = found.filter(|other| !are_related(name, other)).collect();
        graph.insert(name.clone(), found);
    }
    graph
}

/// Lists all modules that `from` imports directly or indirectly.
fn list_reachable(graph: &ImportGraph, from: &str) -> BTreeSet<ModuleName> {
    let mut reached = BTreeSet::new();
    let mut pending = vec![from.to_owned()];
    while let Some(name) = pending.pop() {
        for next in graph.get(&name).into_iter().flatten() {
            if reached.insert(next.clone()) {
                pending.push(next.clone());
            }
        }
    }
    reached
}

#[test]
fn modules_have_no_import_cycles() {
    let modules = read_modules();
    let graph = build_graph(&modules);
    let edges: usize = graph.values().map(BTreeSet::len).sum();
    assert!(edges > 400, "too few imports found: {edges}");
    let circular = graph
        .keys()
        .filter(|name| list_reachable(&graph, name).contains(*name));
    let circular: Vec<_> = circular.collect();
    assert!(circular.is_empty(), "{circular:?}");
}

#[test]
fn import_trees_are_expanded() {
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
