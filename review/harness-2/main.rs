//! Programs of the second review: the cases, and the stand-ins that they start.
//!
//! Built by `review/build-2.sh` with the compiler alone; it uses nothing but the standard library.

mod cases;
mod http;
mod proxy;
mod scene;
mod server;
mod store;
mod util;

use {
    std::{env, path::Path, process::exit},
    util::Record,
};

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    if args.first().is_some_and(|role| role == "server") {
        server::run(&args[1..]);
        return;
    }
    let [role, case, folder, record] = &args[..] else {
        eprintln!("usage: harness case NAME FOLDER RECORD");
        exit(2);
    };
    assert_eq!(role, "case");
    let _ = std::fs::remove_file(record);
    let record = Record::open(Path::new(record));
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {case} trouble={has_trouble}"));
    let folder = Path::new(folder);
    let is_kept = match case.as_str() {
        "reborn-server" => cases::reborn_server(&record, folder, has_trouble),
        "crashing-part" => cases::crashing_part(&record, folder, has_trouble, false),
        "crashing-part-kill" => cases::crashing_part(&record, folder, has_trouble, true),
        "frozen-at-release" => cases::frozen_at_release(&record, folder, has_trouble),
        "second-model" => cases::second_model(&record, folder, has_trouble),
        _ => None,
    };
    let (text, code) = match is_kept {
        Some(true) => ("the rule held", 0),
        Some(false) => ("the rule was broken", 1),
        None => ("the case could not run", 2),
    };
    record.line(text);
    println!("{case}: {text}");
    exit(code);
}
