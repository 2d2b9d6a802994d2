//! Starts edge hosts with stand-ins of the platform on loopback addresses, sends requests to them,
//! and prints the results.

use {
    egret_scenarios::{Process, program_folder},
    egret_standin::platform::{
        BatchConf, CallersConf, PlatformConf, SimulatedPlatform, call_hosts,
    },
    std::{fs, io, net::SocketAddr, path::Path, process::ExitCode, time::Duration},
    tokio::net::TcpStream,
};

/// Edge hosts, as many as Meteora has.
const HOSTS: u8 = 4;

/// First of the four ports of each host.
const FIRST_PORT: u16 = 7000;

fn main() -> ExitCode {
    let seconds = std::env::args().nth(1).and_then(|v| v.parse().ok()).unwrap_or(10);
    let result = tokio::runtime::Runtime::new()
        .and_then(|runtime| runtime.block_on(run_edge_hosts(seconds)));
    match result {
        Ok(0) => ExitCode::SUCCESS,
        Ok(wrong) => {
            eprintln!("{wrong} wrong answers");
            ExitCode::FAILURE
        }
        Err(e) => {
            eprintln!("edge: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the number of wrong answers.
async fn run_edge_hosts(seconds: u64) -> io::Result<u64> {
    println!("starting {HOSTS} edge hosts, 9 engines, 3 targets of a plain service, and the store");
    let platform = SimulatedPlatform::start(PlatformConf {
        store: ([127, 0, 0, 1], 0).into(),
        control: None,
        data_centres: 3,
        engines: 9,
        upgraded_engines: 0,
        plain_targets: 3,
        adapter_slots: 27,
        load_ms: 250,
        full_speed_loads: 8,
        batch: BatchConf { slots: 64, ..BatchConf::default() },
    })
    .await?;
    let folder = tempfile::tempdir()?;
    let mut processes = Vec::new();
    let mut hosts = Vec::new();
    for number in 1..=HOSTS {
        let (process, callers_address) = start_host(number, &platform, folder.path())?;
        processes.push(process);
        hosts.push(callers_address);
    }
    for host in &hosts {
        while TcpStream::connect(host).await.is_err() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    // by then the hosts have found each other and each engine has a host that dispatches to it
    tokio::time::sleep(Duration::from_secs(3)).await;
    println!("sending requests for {seconds} s");
    let report = call_hosts(CallersConf {
        key: None,
        hosts,
        rate: 100.0,
        seconds,
        adapters: 3000,
        exponent: 1.2,
        plain_share: 0.25,
        seed: 1,
    })
    .await;
    print!("{}", report.text());
    let (loads, max_concurrent) = platform.weight_store.load_counts();
    let orders: u64 =
        platform.targets().map(egret_standin::platform::Target::accepted_orders).sum();
    let calls = platform.store.calls();
    println!(
        "{loads} loads from the weight store, at most {max_concurrent} at once; {orders} orders"
    );
    println!("{calls} calls to the platform's store");
    Ok(report.wrong_answers())
}

fn start_host(
    number: u8,
    platform: &SimulatedPlatform,
    folder: &Path,
) -> io::Result<(Process, SocketAddr)> {
    let address = |offset: u16| SocketAddr::from(([127, 0, 2, number], FIRST_PORT + offset));
    let settings = format!(
        "host = \"edge-{number}\"\ndata_centre = \"dc-{}\"\nfirst_start = true\n\
         [listen]\ncallers = \"{}\"\nready = \"{}\"\nlinks = \"{}\"\nmetrics = \"{}\"\n\
         [store]\naddress = \"{}\"\n\
         [orders]\nfencing = \"checked\"\nlease_ms = 3000\nceiling_window_s = 5\n\
         ceiling_over = 1.1\n\
         [retries]\nwindow_s = 10\nratio = 0.2\nfree = 54\n\
         [stop]\ngrace_s = 8\n",
        (number - 1) % 3 + 1,
        address(0),
        address(1),
        address(2),
        address(3),
        platform.store.address(),
    );
    let file = folder.join(format!("edge-{number}.toml"));
    fs::write(&file, settings)?;
    let args = ["--config".to_owned(), file.display().to_string()];
    let name = format!("edge-{number}");
    let process = Process::start(&name, &program_folder().join("egret-edge"), &args, folder)?;
    Ok((process, address(0)))
}
