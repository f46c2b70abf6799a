//! The imports among the modules of the library, and among those of the daemon, have no cycle; those of the library follow the
//! order of layers in docs/architecture.md.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

/// The layers of the library; each may use those before it. A module that is not listed belongs to the layer of its closest
/// listed ancestor.
const LIBRARY_ORDER: [&str; 6] = [
    "api",
    "decision",
    "gossip",
    "decision::policy",
    "platform_settings",
    "simulator",
];

/// The index of a module's layer: that of the longest listed path that the module is at or below.
fn layer(module: &str) -> Option<usize> {
    let is_at_or_below = |name: &str| {
        module == name
            || module
                .strip_prefix(name)
                .is_some_and(|rest| rest.starts_with("::"))
    };
    (0..LIBRARY_ORDER.len())
        .filter(|index| is_at_or_below(LIBRARY_ORDER[*index]))
        .max_by_key(|index| LIBRARY_ORDER[*index].len())
}

type Graph = BTreeMap<String, BTreeSet<String>>;

fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            files.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// The path of a file's module from the crate's root.
fn module_path(source: &Path, file: &Path) -> Vec<String> {
    let relative = file.strip_prefix(source).expect("below the source");
    let mut names: Vec<String> = relative
        .with_extension("")
        .iter()
        .map(|name| name.to_string_lossy().into_owned())
        .collect();
    names.retain(|name| name != "mod");
    names
}

fn is_test(path: &[String]) -> bool {
    path.iter().any(|name| name == "tests" || name == "golden")
}

/// Modules with files of their own that a file's text refers to by `crate::` or `super::`.
fn imports(text: &str, own: &[String], modules: &BTreeSet<Vec<String>>) -> BTreeSet<Vec<String>> {
    let mut found = BTreeSet::new();
    let code = text
        .lines()
        .filter(|line| !line.trim_start().starts_with("//"))
        .collect::<Vec<_>>()
        .join("\n");
    for (at, _) in code.match_indices("crate::") {
        let preceded =
            code[..at].ends_with(|before: char| before.is_alphanumeric() || before == ':');
        if !preceded {
            found.extend(resolve(&code[at + "crate::".len()..], &[], modules));
        }
    }
    for (at, _) in code.match_indices("super::") {
        if !code[..at].ends_with("::") && !own.is_empty() {
            let parent = &own[..own.len() - 1];
            found.extend(resolve(&code[at + "super::".len()..], parent, modules));
        }
    }
    found
}

/// Modules that the rest of a path after `base` refers to; braces are expanded.
fn resolve(rest: &str, base: &[String], modules: &BTreeSet<Vec<String>>) -> Vec<Vec<String>> {
    if let Some(group) = rest.strip_prefix('{') {
        let end = group.find('}').unwrap_or(group.len());
        return group[..end]
            .split(',')
            .flat_map(|item| resolve(item.trim(), base, modules))
            .collect();
    }
    let name: String = rest
        .chars()
        .take_while(|letter| letter.is_alphanumeric() || *letter == '_')
        .collect();
    let mut path = base.to_vec();
    path.push(name.clone());
    if !modules.contains(&path) {
        return if base.is_empty() {
            vec![]
        } else {
            vec![base.to_vec()]
        };
    }
    match rest[name.len()..].strip_prefix("::") {
        Some(further) => resolve(further, &path, modules),
        None => vec![path],
    }
}

/// The imports among the modules of a crate's source folder; `is_included` selects top-level modules by name.
fn graph(root: &str, is_included: impl Fn(&str) -> bool) -> Graph {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join(root);
    let files = source_files(&source);
    let included: Vec<(Vec<String>, &PathBuf)> = files
        .iter()
        .map(|file| (module_path(&source, file), file))
        .filter(|(path, _)| !is_test(path) && path.first().is_some_and(|name| is_included(name)))
        .collect();
    let modules: BTreeSet<Vec<String>> = included.iter().map(|(path, _)| path.clone()).collect();
    let mut graph = Graph::new();
    for (path, file) in &included {
        let text = fs::read_to_string(file).expect("a source file");
        let own = path.join("::");
        let used = imports(&text, path, &modules)
            .into_iter()
            .map(|other| other.join("::"))
            // Imports between a module and its descendants are no dependency.
            .filter(|other| {
                !own.starts_with(&format!("{other}::")) && !other.starts_with(&format!("{own}::"))
            });
        let used: BTreeSet<String> = used.filter(|other| *other != own).collect();
        graph.insert(own, used);
    }
    graph
}

fn is_library(name: &str) -> bool {
    LIBRARY_ORDER.contains(&name)
}

fn library() -> Graph {
    graph("src", is_library)
}

fn daemon() -> Graph {
    graph("src/daemon", |name| name != "main")
}

/// A cycle of imports, if there is one.
fn cycle(graph: &Graph) -> Option<Vec<String>> {
    fn visit<'a>(
        module: &'a str,
        graph: &'a Graph,
        path: &mut Vec<&'a str>,
        done: &mut BTreeSet<&'a str>,
    ) -> Option<Vec<String>> {
        if let Some(start) = path.iter().position(|other| *other == module) {
            return Some(path[start..].iter().map(ToString::to_string).collect());
        }
        if !done.insert(module) {
            return None;
        }
        path.push(module);
        for used in graph.get(module).into_iter().flatten() {
            let found = visit(used, graph, path, done);
            if found.is_some() {
                return found;
            }
        }
        path.pop();
        None
    }
    let mut done = BTreeSet::new();
    graph
        .keys()
        .find_map(|module| visit(module, graph, &mut Vec::new(), &mut done))
}

#[test]
fn the_library_imports_follow_the_layers_of_the_architecture_page() {
    let graph = library();
    assert!(graph.len() > LIBRARY_ORDER.len(), "{graph:?}");
    let mut across_layers = 0;
    for (module, used) in &graph {
        for other in used {
            assert!(
                layer(other) <= layer(module),
                "{module} uses {other}, which is in a higher layer"
            );
            across_layers += usize::from(layer(other) != layer(module));
        }
    }
    assert!(
        across_layers > 10,
        "only {across_layers} imports between layers found"
    );
}

#[test]
fn no_modules_of_the_library_import_each_other_in_a_cycle() {
    assert_eq!(cycle(&library()), None);
}

#[test]
fn no_modules_of_the_daemon_import_each_other_in_a_cycle() {
    let graph = daemon();
    assert!(graph.len() > 20, "{graph:?}");
    assert_eq!(cycle(&graph), None);
}

#[test]
fn a_cycle_is_found() {
    let edge = |from: &str, to: &str| (from.to_string(), BTreeSet::from([to.to_string()]));
    let graph = Graph::from([
        edge("a", "b"),
        edge("b", "c"),
        edge("c", "b"),
        edge("d", "a"),
    ]);
    assert_eq!(cycle(&graph), Some(vec!["b".to_string(), "c".to_string()]));
}

#[test]
fn deploy_file_lists_every_file_of_the_decision_policy() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let policy = deploy
        .lines()
        .find_map(|line| line.strip_prefix("policy = "))
        .expect("a key `policy`");
    let listed: BTreeSet<PathBuf> = policy
        .trim_matches(['[', ']'])
        .split(", ")
        .map(|name| PathBuf::from(name.trim_matches('"')))
        .collect();
    let present: BTreeSet<PathBuf> = source_files(&root.join("src/decision"))
        .into_iter()
        .filter(|file| file.file_name().is_some_and(|name| name != "tests.rs"))
        .map(|file| file.strip_prefix(root).expect("below the root").into())
        .collect();
    assert_eq!(listed, present);
}
