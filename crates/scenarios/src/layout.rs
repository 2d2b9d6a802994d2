//! Addresses, settings and manifest of a deployment on loopback.

use {
    egret_core::{
        Adapter, BaseModel, EngineSpec, HostState, HostsOutOfService, Manifest, ServiceSpec,
        ServiceTarget, WeightStoreSpec,
    },
    egret_runtime::HostEntry,
    faststr::FastStr,
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        path::Path,
    },
};

/// Port at which entries serve callers.
const ENTRY_PORT: u16 = 7000;
/// Port at which keepers take links.
const KEEPER_LINK_PORT: u16 = 7100;
/// Port at which keepers serve status.
const KEEPER_HTTP_PORT: u16 = 7101;
/// Port of everything else.
const STANDIN_PORT: u16 = 9000;
/// Port that keeps two deployments from taking the same addresses.
const LOCK_PORT: u16 = 9999;

/// Secret of the links of a deployment on loopback.
const LINK_SECRET: &str = "loopback-only";

/// What a deployment consists of.
#[derive(Clone, Debug)]
pub struct DeploymentSpec {
    /// Entry hosts, each with an entry and a keeper.
    pub hosts: usize,
    /// Model engines.
    pub engines: usize,
    /// Targets of the plain service `studio`.
    pub service_targets: usize,
    /// Adapters, `a0` and so on, each with versions 1 and 2.
    pub adapters: usize,
    /// Adapters that an engine holds at once.
    pub adapter_slots: u16,
    /// Sequences that an engine runs at once.
    pub batch_size: u16,
    /// Data centres, over which all hosts are spread in turn.
    pub data_centres: Vec<&'static str>,
    /// Engines that refuse old fencing numbers: all, or none.
    pub checks_fence: bool,
    /// Further arguments of each engine stand-in.
    pub engine_args: Vec<String>,
    /// Lines added to each entry's settings.
    pub entry_settings: String,
    /// Lines added to each keeper's settings.
    pub keeper_settings: String,
    /// True to put a relay between each host and the log.
    pub has_log_relays: bool,
}

impl DeploymentSpec {
    /// Few processes, quick to start.
    #[must_use]
    pub fn small() -> Self {
        Self {
            hosts: 2,
            engines: 2,
            service_targets: 1,
            adapters: 20,
            adapter_slots: 4,
            batch_size: 8,
            data_centres: vec!["dc-a", "dc-b"],
            checks_fence: true,
            engine_args: Vec::new(),
            entry_settings: String::new(),
            keeper_settings: String::new(),
            has_log_relays: false,
        }
    }

    /// The sizes of Meteora's deployment.
    #[must_use]
    pub fn meteora() -> Self {
        Self {
            hosts: 4,
            engines: 9,
            service_targets: 3,
            adapters: 3000,
            adapter_slots: 16,
            data_centres: vec!["be-central-a", "be-central-b", "be-central-c"],
            ..Self::small()
        }
    }

    /// The sizes of Cronometría's deployment.
    #[must_use]
    pub fn cronometria() -> Self {
        Self {
            hosts: 4,
            engines: 12,
            service_targets: 3,
            adapters: 3000,
            adapter_slots: 16,
            data_centres: vec!["bilbao", "santander", "oviedo"],
            ..Self::small()
        }
    }
}

/// Addresses of a deployment: a part of the loopback range of its own.
#[derive(Debug)]
pub struct Layout {
    subnet: u8,
    _lock: TcpListener,
}

impl Layout {
    /// Takes a part of the loopback range that no other deployment uses.
    ///
    /// # Panics
    ///
    /// When all parts are taken.
    #[must_use]
    pub fn reserve() -> Self {
        let first = u8::try_from(std::process::id() % 200).unwrap_or(0);
        for step in 0..200 {
            let part = 20 + (first + step) % 200;
            let lock = SocketAddr::new(loopback_ip(part, 0, 254), LOCK_PORT);
            if let Ok(lock) = TcpListener::bind(lock) {
                return Self { subnet: part, _lock: lock };
            }
        }
        panic!("all parts of the loopback range are taken");
    }

    fn address(&self, group: u8, number: usize, port: u16) -> SocketAddr {
        let number = u8::try_from(number + 1).unwrap_or(253);
        SocketAddr::new(loopback_ip(self.subnet, group, number), port)
    }

    /// The log.
    #[must_use]
    pub fn log(&self) -> SocketAddr {
        self.address(0, 0, STANDIN_PORT)
    }

    /// The host list.
    #[must_use]
    pub fn host_list(&self) -> SocketAddr {
        self.address(0, 1, STANDIN_PORT)
    }

    /// The weight store.
    #[must_use]
    pub fn store(&self) -> SocketAddr {
        self.address(0, 2, STANDIN_PORT)
    }

    /// Entry `number`, for callers.
    #[must_use]
    pub fn entry(&self, number: usize) -> SocketAddr {
        self.address(1, number, ENTRY_PORT)
    }

    /// Keeper `number`, for links.
    #[must_use]
    pub fn keeper_links(&self, number: usize) -> SocketAddr {
        self.address(1, number, KEEPER_LINK_PORT)
    }

    /// Keeper `number`, for status.
    #[must_use]
    pub fn keeper_http(&self, number: usize) -> SocketAddr {
        self.address(1, number, KEEPER_HTTP_PORT)
    }

    /// Engine `number`.
    #[must_use]
    pub fn engine(&self, number: usize) -> SocketAddr {
        self.address(2, number, STANDIN_PORT)
    }

    /// Service target `number`.
    #[must_use]
    pub fn service(&self, number: usize) -> SocketAddr {
        self.address(3, number, STANDIN_PORT)
    }

    /// The relay between host `number` and the log.
    #[must_use]
    pub fn relay(&self, number: usize) -> SocketAddr {
        self.address(4, number, STANDIN_PORT)
    }

    /// The fault switches of that relay.
    #[must_use]
    pub fn relay_control(&self, number: usize) -> SocketAddr {
        self.address(4, number, STANDIN_PORT + 1)
    }

    /// Name of entry host `number`.
    #[must_use]
    pub fn host_name(number: usize) -> String {
        format!("entry-{}", number + 1)
    }

    /// Name of engine `number`.
    #[must_use]
    pub fn engine_name(number: usize) -> String {
        format!("engine-{}", number + 1)
    }

    /// The host list of a deployment.
    #[must_use]
    pub fn host_entries(&self, plan: &DeploymentSpec) -> Vec<HostEntry> {
        let host = |number| HostEntry {
            host: FastStr::from_string(Self::host_name(number)),
            ip: self.entry(number).ip(),
            data_centre: FastStr::new(plan.data_centres[number % plan.data_centres.len()]),
            state: HostState::Live,
            role: FastStr::from_static_str("entry"),
        };
        (0..plan.hosts).map(host).collect()
    }

    /// The manifest of a deployment.
    #[must_use]
    pub fn manifest(&self, plan: &DeploymentSpec) -> Manifest {
        let data_centre =
            |number: usize| FastStr::new(plan.data_centres[number % plan.data_centres.len()]);
        let base = FastStr::from_static_str("base");
        let adapter = |number| {
            let key = FastStr::from_string(format!("base/a{number}"));
            (key, Adapter { versions: vec![1, 2] })
        };
        let engine = |number| {
            let spec = EngineSpec {
                base: base.clone(),
                address: self.engine(number),
                data_centre: data_centre(number),
                adapter_slots: plan.adapter_slots,
                batch: plan.batch_size,
                checks_fence: plan.checks_fence,
            };
            (FastStr::from_string(Self::engine_name(number)), spec)
        };
        let target = |number| {
            let name = FastStr::from_string(format!("studio-{}", number + 1));
            let data_centre = data_centre(number);
            (name, ServiceTarget { address: self.service(number), data_centre })
        };
        let studio = ServiceSpec { targets: (0..plan.service_targets).map(target).collect() };
        Manifest {
            weight_store: WeightStoreSpec::default(),
            base_models: [(base.clone(), BaseModel {})].into_iter().collect(),
            adapters: (0..plan.adapters).map(adapter).collect(),
            engines: (0..plan.engines).map(engine).collect(),
            services: [(FastStr::from_static_str("studio"), studio)].into_iter().collect(),
            hosts: HostsOutOfService::default(),
        }
    }

    fn platform_settings(&self, plan: &DeploymentSpec, number: usize) -> String {
        let log = if plan.has_log_relays { self.relay(number) } else { self.log() };
        format!("[platform]\nlog = \"{log}\"\nhosts = \"{}\"\n", self.host_list())
    }

    /// Settings of entry `number`.
    #[must_use]
    pub fn entry_settings(&self, plan: &DeploymentSpec, number: usize) -> String {
        let data_centre = plan.data_centres[number % plan.data_centres.len()];
        format!(
            "host = \"{}\"\ndata_centre = \"{data_centre}\"\nhttp = \"{}\"\n\
             keeper_port = {KEEPER_LINK_PORT}\nsecret = \"{LINK_SECRET}\"\n{}{}",
            Self::host_name(number),
            self.entry(number),
            self.platform_settings(plan, number),
            plan.entry_settings,
        )
    }

    /// Settings of keeper `number`.
    #[must_use]
    pub fn keeper_settings(&self, plan: &DeploymentSpec, number: usize) -> String {
        let data_centre = plan.data_centres[number % plan.data_centres.len()];
        format!(
            "host = \"{}\"\ndata_centre = \"{data_centre}\"\nlinks = \"{}\"\nhttp = \"{}\"\n\
             secret = \"{LINK_SECRET}\"\n{}{}",
            Self::host_name(number),
            self.keeper_links(number),
            self.keeper_http(number),
            self.platform_settings(plan, number),
            plan.keeper_settings,
        )
    }

    /// Settings of egretctl.
    #[must_use]
    pub fn ctl_settings(&self) -> String {
        format!(
            "entry_port = {ENTRY_PORT}\nkeeper_port = {KEEPER_HTTP_PORT}\n\
             [platform]\nlog = \"{}\"\nhosts = \"{}\"\n",
            self.log(),
            self.host_list()
        )
    }

    /// Writes `text` to a file in `folder` and returns its path as text.
    ///
    /// # Panics
    ///
    /// When the file can't be written.
    #[must_use]
    pub fn write_file(folder: &Path, name: &str, text: &str) -> String {
        let path = folder.join(name);
        std::fs::write(&path, text).expect("the temporary folder can be written");
        path.display().to_string()
    }
}

fn loopback_ip(part: u8, group: u8, number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, part, group, number))
}
