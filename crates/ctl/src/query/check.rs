//! Checking a manifest.

use {
    crate::{
        cli::CheckArgs,
        exit::Exit,
        manifest::{Fault, read},
    },
    serde_json::json,
    std::path::Path,
};

/// Runs `egretctl check`.
pub(crate) fn run(args: &CheckArgs, json: bool) -> Exit {
    match read(&args.manifest) {
        Ok(manifest) => {
            let (engines, adapters) = (manifest.engines.len(), manifest.adapters.len());
            if json {
                println!("{}", json!({ "ok": true, "engines": engines, "adapters": adapters }));
            } else {
                println!("right: {engines} engines, {adapters} adapters");
            }
            Exit::Done
        }
        Err(faults) => print_faults(&args.manifest, &faults, json),
    }
}

/// Prints the faults of a manifest.
pub(crate) fn print_faults(path: &Path, faults: &[Fault], json: bool) -> Exit {
    if json {
        println!("{}", json!({ "ok": false, "faults": faults }));
    } else {
        for fault in faults {
            println!("{}:{}: {}: {}", path.display(), fault.line, fault.key, fault.problem);
        }
    }
    Exit::Wrong
}
