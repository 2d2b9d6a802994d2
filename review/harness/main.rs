//! Plays one case of the review: `standin CASE FOLDER`, in the root of the repository. It writes
//! `record.txt` into FOLDER and exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod client;
mod host;
mod http;
mod json;
mod scene;
mod store;
mod target;

use std::{env, path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let mut args = env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::play(&case, &folder, trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("{case}: could not run: {e}");
            ExitCode::from(2)
        }
    }
}
