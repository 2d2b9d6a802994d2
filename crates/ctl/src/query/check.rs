//! Checking a manifest.

use {
    crate::{
        cli::CheckArgs,
        exit::Exit,
        manifest::{ManifestFileError, read_manifest},
    },
    serde_json::json,
    std::path::Path,
};

/// Runs `egretctl check`.
pub(crate) fn run(args: &CheckArgs, json: bool) -> Exit {
    match read_manifest(&args.manifest) {
        Ok(manifest) => {
            let (engines, adapters) = (manifest.engines.len(), manifest.adapters.len());
            if json {
                println!("{}", json!({ "ok": true, "engines": engines, "adapters": adapters }));
            } else {
                println!("right: {engines} engines, {adapters} adapters");
            }
            Exit::Success
        }
        Err(faults) => print_manifest_errors(&args.manifest, &faults, json),
    }
}

/// Prints the faults of a manifest.
pub(crate) fn print_manifest_errors(path: &Path, faults: &[ManifestFileError], json: bool) -> Exit {
    if json {
        println!("{}", json!({ "ok": false, "faults": faults }));
    } else {
        for fault in faults {
            println!("{}:{}: {}: {}", path.display(), fault.line, fault.key, fault.problem);
        }
    }
    Exit::InvalidInput
}
