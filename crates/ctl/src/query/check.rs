//! Checks a manifest.

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
                println!("valid: {engines} engines, {adapters} adapters");
            }
            Exit::Success
        }
        Err(errors) => print_manifest_errors(&args.manifest, &errors, json),
    }
}

/// Prints the errors of a manifest.
pub(crate) fn print_manifest_errors(path: &Path, errors: &[ManifestFileError], json: bool) -> Exit {
    if json {
        println!("{}", json!({ "ok": false, "faults": errors }));
    } else {
        for error in errors {
            println!("{}:{}: {}: {}", path.display(), error.line, error.key, error.problem);
        }
    }
    Exit::InvalidInput
}
